package org.lycheetray.core.placement;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import org.lycheetray.core.model.ConfigVersion;
import org.lycheetray.core.model.DataCentreName;
import org.lycheetray.core.model.RegionName;
import org.lycheetray.core.model.ServiceName;
import org.lycheetray.core.model.VmName;
import org.lycheetray.core.registry.RegisteredServer;
import org.lycheetray.core.registry.ServerBuilder;
import org.lycheetray.core.time.MonotonicTime;
import org.lycheetray.core.traffic.ClientLimits;
import org.lycheetray.core.traffic.RetrySafety;
import org.lycheetray.core.traffic.TrafficConfig;
import org.lycheetray.core.traffic.TrafficRoute;
import org.lycheetray.core.traffic.TrafficService;
import org.lycheetray.core.traffic.WeightedService;

class PlacementTest {
    private static final ServiceName SERVICE = new ServiceName("svc");
    private static final DataCentreName DC_A = new DataCentreName("dc-a");
    private static final DataCentreName DC_B = new DataCentreName("dc-b");
    private static final RegionName REGION_A = new RegionName("region-a");
    private static final RegionName REGION_B = new RegionName("region-b");
    private static final double COLD_PER_S = 2.4;
    private static final double MAX_COLD_REQUESTS_PER_S = COLD_PER_S * 1.5 + 5;
    private static final TrafficRoute ROUTE = route(Set.of());

    private MonotonicTime now = MonotonicTime.ZERO;
    private final Placement placement = placement("vm-0");

    private static Placement placement(String vm) {
        Placement p = new Placement(
                new PlacementSettings(new VmName(vm), DC_A, Map.of(DC_A, REGION_A, DC_B, REGION_B), 1.5, 5, 0.15),
                new SplittableRandom(7));
        p.configure(new TrafficConfig(
                new ConfigVersion(1),
                List.of(ROUTE),
                List.of(new TrafficService(SERVICE, "/health", 300, Duration.ofSeconds(3), COLD_PER_S)),
                ClientLimits.INITIAL,
                Optional.empty()));
        return p;
    }

    private static TrafficRoute route(Set<RegionName> regions) {
        return new TrafficRoute(
                "r",
                "h",
                "/",
                List.of(new WeightedService(SERVICE, 1)),
                RetrySafety.REPEATABLE,
                Duration.ofSeconds(2),
                Duration.ofMillis(400),
                2,
                1,
                true,
                false,
                regions);
    }

    private PlacementRequest request(Set<RegionName> regions) {
        return new PlacementRequest(
                ROUTE,
                SERVICE,
                Optional.of("object"),
                regions,
                now,
                now.plus(Duration.ofMillis(400)),
                now.plus(Duration.ofSeconds(2)),
                Set.of());
    }

    private void register(ServerBuilder... entries) {
        placement.updateServers(Arrays.stream(entries).map(ServerBuilder::build).toList(), now);
    }

    private Optional<String> chosenServer(PlacementRequest r) {
        return placement.decide(r, now) instanceof PlacementDecision.Send s
                ? Optional.of(s.name().value())
                : Optional.empty();
    }

    private static PlacementDecision.Send send(String server) {
        return new PlacementDecision.Send(
                ServerBuilder.entry(server).build(), CacheAffinity.UNKNOWN, Duration.ofSeconds(1), "test");
    }

    @Test
    void drainingServerAndEvacuatedDataCentreReceiveNoRequests() {
        register(ServerBuilder.entry("a").draining(), ServerBuilder.entry("b").in("dc-b"), ServerBuilder.entry("c"));

        assertThat(chosenServer(request(Set.of()))).contains("c");
        placement.evacuate(Set.of(DC_A), now);
        assertThat(chosenServer(request(Set.of()))).contains("b");
        placement.evacuate(Set.of(DC_A, DC_B), now);
        assertThat(placement.decide(request(Set.of()), now)).isInstanceOf(PlacementDecision.Refuse.class);
    }

    @Test
    void requestIsSentOnlyToAllowedRegions() {
        register(ServerBuilder.entry("a"), ServerBuilder.entry("b").in("dc-b"));

        assertThat(chosenServer(request(Set.of(REGION_B)))).contains("b");
    }

    @Test
    void requestsForOneObjectAreSentToOneServer() {
        register(ServerBuilder.entry("a"), ServerBuilder.entry("b"), ServerBuilder.entry("c"));

        Optional<String> first = chosenServer(request(Set.of()));

        for (int i = 0; i < 20; i++) {
            now = now.plus(Duration.ofMillis(100));
            assertThat(chosenServer(request(Set.of()))).isEqualTo(first);
        }
    }

    @Test
    void requestIsRefusedAtOnceWhenQueueIsTooLong() {
        register(ServerBuilder.entry("a").slots(1));
        for (int i = 0; i < 10; i++) {
            placement.recordStart(request(Set.of()), send("a"), now);
        }

        assertThat(placement.decide(request(Set.of()), now)).isInstanceOf(PlacementDecision.Refuse.class);
    }

    @Test
    void unreachableServerIsPaused() {
        register(ServerBuilder.entry("a"), ServerBuilder.entry("b"));
        String first = chosenServer(request(Set.of())).orElseThrow();
        placement.recordStart(request(Set.of()), send(first), now);
        placement.recordEnd(request(Set.of()), send(first), new AttemptOutcome.Unreachable(), now);

        assertThat(chosenServer(request(Set.of()))).isPresent().isNotEqualTo(Optional.of(first));
    }

    /** Eleven VMs that know only one cold server must not exceed its rate limit together. */
    @Test
    void fleetRespectsRateLimitOfColdServer() {
        assertThat(maxRequestsPerSecond(true)).isLessThanOrEqualTo((long) MAX_COLD_REQUESTS_PER_S);
    }

    @Test
    void fleetRespectsColdRateLimitAfterSuspectedRestart() {
        assertThat(maxRequestsPerSecond(false)).isLessThanOrEqualTo((long) MAX_COLD_REQUESTS_PER_S);
    }

    private long maxRequestsPerSecond(boolean reportedCold) {
        int vms = 11;
        List<Placement> fleet = new ArrayList<>();
        RegisteredServer server = ServerBuilder.entry("a")
                .cold(reportedCold ? Duration.ofSeconds(10) : Duration.ZERO)
                .slots(100)
                .build();
        for (int i = 0; i < vms; i++) {
            Placement p = placement("vm-" + i);
            Map<VmName, RegionName> others = new HashMap<>();
            for (int j = 0; j < vms; j++) {
                if (j != i) {
                    others.put(new VmName("vm-" + j), REGION_A);
                }
            }
            p.updateVms(others);
            p.updateServers(List.of(server), now);
            if (!reportedCold) {
                p.suspectRestart(server.name(), now);
            }
            fleet.add(p);
        }
        List<Long> sent = new ArrayList<>();
        for (long ms = 0; ms < 4_000; ms += 10) {
            now = new MonotonicTime(ms * 1_000_000);
            for (Placement p : fleet) {
                if (p.decide(request(Set.of()), now) instanceof PlacementDecision.Send s) {
                    p.recordStart(request(Set.of()), s, now);
                    sent.add(ms);
                }
            }
        }
        return sent.stream()
                .mapToLong(
                        t -> sent.stream().filter(u -> u >= t && u < t + 1_000).count())
                .max()
                .orElse(0);
    }
}
