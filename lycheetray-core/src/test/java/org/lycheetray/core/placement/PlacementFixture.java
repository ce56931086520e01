package org.lycheetray.core.placement;

import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import org.lycheetray.core.model.ConfigVersion;
import org.lycheetray.core.model.DataCentreName;
import org.lycheetray.core.model.RegionName;
import org.lycheetray.core.model.ServiceName;
import org.lycheetray.core.model.VmName;
import org.lycheetray.core.time.MonotonicTime;
import org.lycheetray.core.traffic.ClientLimits;
import org.lycheetray.core.traffic.RetrySafety;
import org.lycheetray.core.traffic.TrafficConfig;
import org.lycheetray.core.traffic.TrafficRoute;
import org.lycheetray.core.traffic.TrafficService;
import org.lycheetray.core.traffic.WeightedService;

/** Builds placements and requests of one service in two regions. */
final class PlacementFixture {
    static final DataCentreName DC_A = new DataCentreName("dc-a");
    static final DataCentreName DC_B = new DataCentreName("dc-b");
    static final RegionName REGION_A = new RegionName("region-a");
    static final RegionName REGION_B = new RegionName("region-b");
    static final double COLD_PER_S = 2.4;
    private static final ServiceName SERVICE = new ServiceName("svc");
    private static final Duration TARGET = Duration.ofMillis(400);
    private static final Duration TIMEOUT = Duration.ofSeconds(2);
    private static final TrafficRoute ROUTE = new TrafficRoute(
            "r",
            "h",
            "/",
            List.of(new WeightedService(SERVICE, 1)),
            RetrySafety.REPEATABLE,
            TIMEOUT,
            TARGET,
            2,
            1,
            true,
            false,
            Set.of());

    private PlacementFixture() {}

    /** Creates the placement of a VM in the first data centre, which knows neither servers nor other VMs. */
    static Placement placement(int vm, long seed) {
        Placement p = new Placement(
                new PlacementSettings(name(vm), DC_A, Map.of(DC_A, REGION_A, DC_B, REGION_B), 1.5, 5, 0.15),
                new SplittableRandom(seed));
        p.configure(new TrafficConfig(
                new ConfigVersion(1),
                List.of(ROUTE),
                List.of(new TrafficService(SERVICE, "/health", 300, Duration.ofSeconds(3), COLD_PER_S)),
                ClientLimits.INITIAL,
                Optional.empty()));
        return p;
    }

    /** Returns all VMs of a fleet in the first region except one. */
    static Map<VmName, RegionName> others(int vm, int vms) {
        Map<VmName, RegionName> others = new HashMap<>();
        for (int i = 0; i < vms; i++) {
            if (i != vm) {
                others.put(name(i), REGION_A);
            }
        }
        return others;
    }

    private static VmName name(int vm) {
        return new VmName("vm-" + vm);
    }

    /** Returns a request that is received now. */
    static PlacementRequest request(Optional<String> object, Set<RegionName> regions, MonotonicTime now) {
        return new PlacementRequest(
                ROUTE, SERVICE, object, regions, now, now.plus(TARGET), now.plus(TIMEOUT), Set.of());
    }
}
