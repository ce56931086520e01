package org.lycheetray.daemon.steering;

import java.time.Instant;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Function;
import org.lycheetray.core.membership.Membership;
import org.lycheetray.core.model.DataCentre;
import org.lycheetray.core.model.DataCentreName;
import org.lycheetray.core.model.DrainTarget;
import org.lycheetray.core.model.RegionName;
import org.lycheetray.core.model.Service;
import org.lycheetray.core.regions.RegionCondition;
import org.lycheetray.core.regions.RegionPlan;
import org.lycheetray.core.regions.RegionState;
import org.lycheetray.core.slots.SlotLoad;
import org.lycheetray.daemon.config.ActiveConfig;

/**
 * Collects the condition of each region as this VM knows it, as input to {@link RegionPlan}.
 *
 * <p>Takes into account planned drains, the reachability of data centres and the loads that slot owners report.
 */
final class RegionConditions {
    /** Slots that a request from another region is assumed to take, as its actual cost for the service is not known. */
    private static final double REMOTE_REQUEST_SLOTS = 2;

    private final ActiveConfig config;
    private final Membership membership;
    private final Instant now;

    RegionConditions(ActiveConfig config, Membership membership, Instant now) {
        this.config = config;
        this.membership = membership;
        this.now = now;
    }

    Map<RegionName, Double> shares(Service service, RegionName home, Function<DataCentreName, SlotLoad> loads) {
        TreeMap<RegionName, RegionCondition> conditions = new TreeMap<>();
        config.manifest().regions().forEach(r -> conditions.put(r, condition(r, loads)));
        return conditions.containsKey(home)
                ? RegionPlan.shares(home, conditions, REMOTE_REQUEST_SLOTS)
                : Map.of(home, 1.0);
    }

    private RegionCondition condition(RegionName region, Function<DataCentreName, SlotLoad> loads) {
        int slots = 0;
        int busy = 0;
        for (DataCentre d : config.manifest().dataCentres()) {
            if (d.region().equals(region) && membership.isReachable(d.name())) {
                SlotLoad load = loads.apply(d.name());
                slots += load.slots();
                busy += load.inFlight();
            }
        }
        return new RegionCondition(state(region, slots), slots, busy);
    }

    private RegionState state(RegionName region, int slots) {
        boolean drained = config.manifest().plannedDrains().stream()
                .anyMatch(d -> d.target() instanceof DrainTarget.OfRegion(RegionName r)
                        && r.equals(region)
                        && d.isActive(now));
        if (drained) {
            return RegionState.DRAINING;
        }
        return slots == 0 ? RegionState.LOST : RegionState.OPEN;
    }
}
