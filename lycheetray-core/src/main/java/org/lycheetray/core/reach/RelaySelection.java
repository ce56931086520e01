package org.lycheetray.core.reach;

import java.util.Collection;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.ToIntFunction;
import java.util.random.RandomGenerator;
import org.lycheetray.core.fleet.FleetMember;
import org.lycheetray.core.model.DataCentreName;
import org.lycheetray.core.model.RegionName;
import org.lycheetray.core.model.VmName;

/**
 * Selects the VM that sends a request to a backend server in place of the local VM.
 *
 * <p>Near VMs come first; each request in progress through a VM counts against it, so that a busy near VM is passed over
 * for a farther one.
 *
 * @param localDataCentre data centre of the local VM
 * @param regions region of each data centre
 * @param random breaks ties
 */
public record RelaySelection(
        DataCentreName localDataCentre, Map<DataCentreName, RegionName> regions, RandomGenerator random) {
    /** Requests in progress that a VM of another data centre of the region is worth. */
    private static final double OTHER_DATA_CENTRE_COST = 2;

    /** Requests in progress that a VM of another region is worth. */
    private static final double OTHER_REGION_COST = 8;

    /**
     * Selects a VM.
     *
     * @param candidates VMs that reach servers
     * @param excluded VMs that were tried for this request
     * @param allowed regions through which the request may pass; empty for all
     * @param inProgress returns the number of requests in progress through a VM
     * @return the VM, or empty if there is none
     */
    public Optional<FleetMember> select(
            Collection<FleetMember> candidates,
            Set<VmName> excluded,
            Set<RegionName> allowed,
            ToIntFunction<VmName> inProgress) {
        FleetMember best = null;
        double lowest = Double.MAX_VALUE;
        for (FleetMember m : candidates) {
            Optional<RegionName> region = Optional.ofNullable(regions.get(m.dataCentre()));
            boolean usable = !excluded.contains(m.vm())
                    && (allowed.isEmpty() || region.filter(allowed::contains).isPresent());
            double cost = inProgress.applyAsInt(m.vm()) + distance(m, region) + random.nextDouble();
            if (usable && cost < lowest) {
                best = m;
                lowest = cost;
            }
        }
        return Optional.ofNullable(best);
    }

    private double distance(FleetMember m, Optional<RegionName> region) {
        if (m.dataCentre().equals(localDataCentre)) {
            return 0;
        }
        boolean sameRegion = region.isPresent() && region.get().equals(regions.get(localDataCentre));
        return sameRegion ? OTHER_DATA_CENTRE_COST : OTHER_REGION_COST;
    }
}
