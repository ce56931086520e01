package org.lycheetray.core.placement;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.Set;
import java.util.function.IntPredicate;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.lycheetray.core.registry.RegisteredServer;
import org.lycheetray.core.registry.ServerBuilder;
import org.lycheetray.core.time.MonotonicTime;

/** Guards against a server getting more requests from the fleet than the limit that it stated. */
class ServerLimitTest {
    private static final long WINDOW_MS = 4_000;
    private static final int TICK_MS = 10;

    private final List<Placement> fleet = new ArrayList<>();
    private final RegisteredServer server =
            ServerBuilder.entry("a").slots(1_000).build();
    private final List<Long> sent = new ArrayList<>();
    private MonotonicTime now = MonotonicTime.ZERO;

    private void startFleet(int vms) {
        for (int i = 0; i < vms; i++) {
            Placement p = PlacementFixture.placement(i, i);
            p.updateVms(PlacementFixture.others(i, vms));
            p.updateServers(List.of(server), now);
            fleet.add(p);
        }
    }

    /** Lets each selected VM ask for as many requests as it may send, until the given time. */
    private void run(long untilMs, IntPredicate selected) {
        for (long ms = now.since(MonotonicTime.ZERO).toMillis() + TICK_MS; ms <= untilMs; ms += TICK_MS) {
            now = MonotonicTime.ZERO.plus(Duration.ofMillis(ms));
            for (int i = 0; i < fleet.size(); i++) {
                if (selected.test(i) && fleet.get(i).decide(request(), now) instanceof PlacementDecision.Send s) {
                    fleet.get(i).recordStart(request(), s, now);
                    sent.add(ms);
                }
            }
        }
    }

    private PlacementRequest request() {
        return PlacementFixture.request(Optional.empty(), Set.of(), now);
    }

    private void state(OptionalDouble perSecond) {
        fleet.forEach(p -> p.limits().recordAnswer(server, perSecond, now));
    }

    private long mostInWindow() {
        int first = 0;
        int most = 0;
        for (int i = 0; i < sent.size(); i++) {
            while (sent.get(i) - sent.get(first) >= WINDOW_MS) {
                first++;
            }
            most = Math.max(most, i - first + 1);
        }
        return most;
    }

    private static long allowed(double perSecond) {
        return (long) (1.5 * perSecond * WINDOW_MS / 1_000 + 5);
    }

    @ParameterizedTest
    @CsvSource({"1, 2.6", "2, 0.5", "11, 0.1", "11, 2.6", "11, 40", "300, 2.6"})
    void fleetRespectsTheLimitOfAServer(int vms, double perSecond) {
        startFleet(vms);
        state(OptionalDouble.of(perSecond));

        run(20_000, i -> true);

        assertThat(mostInWindow()).isLessThanOrEqualTo(allowed(perSecond));
        assertThat(sent).hasSizeGreaterThanOrEqualTo((int) (0.8 * perSecond * 20));
    }

    /** Guards against an overflow that leaves a server with a very high limit to a single VM. */
    @Test
    void allVmsUseAServerWithAVeryHighLimit() {
        startFleet(11);
        state(OptionalDouble.of(1e300));

        run(50 * TICK_MS, i -> true);

        assertThat(sent).hasSizeGreaterThanOrEqualTo(11 * 40);
    }

    @Test
    void partitionsTogetherRespectTheLimitAndEachUsesItsShare() {
        startFleet(11);
        state(OptionalDouble.of(2.6));
        run(8_000, i -> i < 4);
        int first = sent.size();
        sent.clear();
        run(16_000, i -> i >= 4);

        assertThat(first + sent.size()).isBetween(15, (int) (2.6 * 8 + 6));
    }

    @Test
    void fleetRespectsTheLimitWhileVmsLeaveAndReturn() {
        startFleet(11);
        state(OptionalDouble.of(2.6));
        run(5_000, i -> true);
        fleet.subList(0, 8).forEach(p -> p.updateVms(PlacementFixture.others(0, 8)));
        run(10_000, i -> i < 8);
        for (int i = 0; i < 11; i++) {
            fleet.get(i).updateVms(PlacementFixture.others(i, 11));
        }
        run(15_000, i -> true);

        assertThat(mostInWindow()).isLessThanOrEqualTo(allowed(2.6));
    }

    @Test
    void limitThatNobodyConfirmsIsTriedByAllVmsWithinItsRate() {
        startFleet(300);
        state(OptionalDouble.of(2.6));
        run(30_000, i -> i == 0);
        sent.clear();
        run(40_000, i -> true);

        assertThat(mostInWindow()).isBetween(1L, allowed(2.6));
    }

    @Test
    void vmThatDoesNotKnowTheFleetYetDoesNotUseALimitedServer() {
        startFleet(1);
        Placement fresh = PlacementFixture.placement(9, 9);
        fresh.updateServers(List.of(server), now);
        fleet.set(0, fresh);
        state(OptionalDouble.of(2.6));

        run(5_000, i -> true);

        assertThat(sent).isEmpty();
    }

    @Test
    void requestIsRefusedAtOnceWithTheTimeOfTheNextTokenIfAllServersAreLimited() {
        startFleet(1);
        state(OptionalDouble.of(0.5));
        run(2_500, i -> true);

        assertThat(fleet.getFirst().decide(request(), now))
                .isInstanceOfSatisfying(PlacementDecision.Refuse.class, r -> {
                    assertThat(r.reason()).isEqualTo("server-limit");
                    assertThat(r.retryAfter()).isBetween(Duration.ofSeconds(1), Duration.ofSeconds(2));
                });
    }

    @Test
    void serverReceivesItsFullShareOnceTheLimitHasEnded() {
        startFleet(11);
        state(OptionalDouble.of(0.5));
        run(2_000, i -> true);
        state(OptionalDouble.empty());
        sent.clear();

        run(2_000 + TICK_MS, i -> true);

        assertThat(sent).hasSize(11);
    }
}
