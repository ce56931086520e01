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
import org.lycheetray.daemon.limit.ListenerLimits;

/**
 * Validated settings of an entry VM.
 *
 * @param vm name of the local VM
 * @param dataCentre data centre of the local VM
 * @param regions region of every data centre
 * @param callerEndpoint listen address for caller requests
 * @param readinessEndpoint listen address for readiness checks
 * @param lookupEndpoint listen address for look-ups
 * @param reportEndpoint UDP address for reports of other VMs
 * @param metricsEndpoint listen address for metrics, or empty to serve none
 * @param storeEndpoint address of the store
 * @param memoryMegabytes memory of the whole process in MB
 * @param listenerLimits maximum numbers of connections from outside
 * @param fleetLimits fleet-wide limits, which can change without a restart
 */
public record EdgeSettings(
        VmName vm,
        DataCentreName dataCentre,
        Map<DataCentreName, RegionName> regions,
        Endpoint callerEndpoint,
        Endpoint readinessEndpoint,
        Endpoint lookupEndpoint,
        Endpoint reportEndpoint,
        Optional<Endpoint> metricsEndpoint,
        Endpoint storeEndpoint,
        int memoryMegabytes,
        ListenerLimits listenerLimits,
        FleetLimits fleetLimits) {
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
    public EdgeSettings withFleetLimits(FleetLimits other) {
        return new EdgeSettings(
                vm,
                dataCentre,
                regions,
                callerEndpoint,
                readinessEndpoint,
                lookupEndpoint,
                reportEndpoint,
                metricsEndpoint,
                storeEndpoint,
                memoryMegabytes,
                listenerLimits,
                other);
    }

    /**
     * Fleet-wide limits.
     *
     * @param gracePeriod time from the stop request until the process is killed
     * @param maxLookupTtl longest time that callers cache a look-up answer
     * @param retryLimits limits on retries, in proportion to requests
     * @param quotaTolerance amount by which a client account's rate may be exceeded
     * @param coldOverage factor by which a cold server's rate may be exceeded
     * @param coldSlack additional requests per second that a cold server may receive
     * @param maxShift largest fraction of a region's requests that may move to another region within 2 s
     */
    public record FleetLimits(
            Duration gracePeriod,
            Duration maxLookupTtl,
            FleetRetryBudget.RetryLimits retryLimits,
            QuotaTolerance quotaTolerance,
            double coldOverage,
            double coldSlack,
            double maxShift) {}
}
