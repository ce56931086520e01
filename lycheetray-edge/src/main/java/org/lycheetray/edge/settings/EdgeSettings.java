package org.lycheetray.edge.settings;

import java.time.Duration;
import java.util.Map;
import java.util.Optional;
import org.lycheetray.core.allowance.FleetRetryBudget;
import org.lycheetray.core.model.DataCentreName;
import org.lycheetray.core.model.Endpoint;
import org.lycheetray.core.model.RegionName;
import org.lycheetray.core.model.VmName;
import org.lycheetray.core.quota.QuotaTolerance;

/**
 * Validated settings of an entry VM.
 *
 * @param vm name of the local VM
 * @param dataCentre data centre of the local VM
 * @param regions region of every data centre
 * @param callers listen address for caller requests
 * @param readiness listen address for readiness checks
 * @param lookups listen address for look-ups
 * @param reports UDP address for reports of other VMs
 * @param metrics listen address for metrics, or empty to serve none
 * @param store address of the store
 * @param memoryMegabytes memory of the whole process in MB
 * @param bounds fleet-wide limits, which can change without a restart
 */
public record EdgeSettings(
        VmName vm,
        DataCentreName dataCentre,
        Map<DataCentreName, RegionName> regions,
        Endpoint callers,
        Endpoint readiness,
        Endpoint lookups,
        Endpoint reports,
        Optional<Endpoint> metrics,
        Endpoint store,
        int memoryMegabytes,
        Bounds bounds) {
    /** Makes the settings immutable by copying the map. */
    public EdgeSettings {
        regions = Map.copyOf(regions);
    }

    /**
     * Returns a copy of these settings with other fleet-wide limits.
     *
     * @param other the new limits
     * @return the copy
     */
    public EdgeSettings withFleetLimits(Bounds other) {
        return new EdgeSettings(
                vm, dataCentre, regions, callers, readiness, lookups, reports, metrics, store, memoryMegabytes, other);
    }

    /**
     * Fleet-wide limits.
     *
     * @param grace time from the stop request until the process is killed
     * @param lookupTtl longest time that callers cache a look-up answer
     * @param retries limits on retries, in proportion to requests
     * @param quota amount by which a client account's rate may be exceeded
     * @param coldOverage factor by which a cold server's rate may be exceeded
     * @param coldSlack additional requests per second that a cold server may receive
     * @param mostShift largest fraction of a region's requests that may move to another region within 2 s
     */
    public record Bounds(
            Duration grace,
            Duration lookupTtl,
            FleetRetryBudget.RetryLimits retries,
            QuotaTolerance quota,
            double coldOverage,
            double coldSlack,
            double mostShift) {}
}
