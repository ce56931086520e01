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
 * Checked settings of an edge.
 *
 * @param vm name of this VM
 * @param dataCentre data centre it stands in
 * @param regions region of every data centre
 * @param callers where callers' requests are taken
 * @param readiness where readiness is asked for
 * @param lookups where look-ups are answered
 * @param reports where other VMs' reports arrive, UDP
 * @param metrics where metrics are served
 * @param store address of the store
 * @param memoryMegabytes memory of the whole process
 * @param bounds limits that hold for the whole fleet
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
    /** Copies the map. */
    public EdgeSettings {
        regions = Map.copyOf(regions);
    }

    /**
     * Replaces the limits.
     *
     * @param other the new limits
     * @return settings that are otherwise the same
     */
    public EdgeSettings withBounds(Bounds other) {
        return new EdgeSettings(
                vm, dataCentre, regions, callers, readiness, lookups, reports, metrics, store, memoryMegabytes, other);
    }

    /**
     * Limits that hold for the whole fleet.
     *
     * @param grace time from the request to stop until the process is killed
     * @param lookupTtl longest time that callers keep a look-up's answer
     * @param retries further attempts in proportion to requests
     * @param quota what is tolerated beyond a client account's rate
     * @param coldOverage factor by which a cold server's rate may be exceeded
     * @param coldSlack requests in a second that a cold server may get on top
     * @param mostShift largest part of a region's requests that may change the region they run in within 2 s
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
