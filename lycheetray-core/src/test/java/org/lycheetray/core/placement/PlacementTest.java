package org.lycheetray.core.placement;

import static org.assertj.core.api.Assertions.assertThat;
import static org.lycheetray.core.placement.PlacementFixture.COLD_PER_S;
import static org.lycheetray.core.placement.PlacementFixture.DC_A;
import static org.lycheetray.core.placement.PlacementFixture.DC_B;
import static org.lycheetray.core.placement.PlacementFixture.REGION_B;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.lycheetray.core.model.RegionName;
import org.lycheetray.core.registry.RegisteredServer;
import org.lycheetray.core.registry.ServerBuilder;
import org.lycheetray.core.time.MonotonicTime;

class PlacementTest {
    private static final long SEED = 7;
    private static final double MAX_COLD_REQUESTS_PER_S = COLD_PER_S * 1.5 + 5;

    private MonotonicTime now = MonotonicTime.ZERO;
    private final Placement placement = PlacementFixture.placement(0, SEED);

    private PlacementRequest request(Set<RegionName> regions) {
        return PlacementFixture.request(Optional.of("object"), regions, now);
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
            Placement p = PlacementFixture.placement(i, SEED);
            p.updateVms(PlacementFixture.others(i, vms));
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
