package org.lycheetray.core.placement;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.function.ToDoubleFunction;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

/** Replays load patterns and checks what callers get; bounds are what the operators ask for, not what was measured. */
class PlacementLoadTest {
    private static final int SEEDS = 6;
    private static final List<Integer> UNEVEN = List.of(6, 2, 4);

    private static FleetSimulation.Load reads(double factor, double burst) {
        return new FleetSimulation.Load(
                UNEVEN, 3, 3, 640, 400, 3_000, 1_500, 24.3 * factor, 0.55, 24, 25, burst, 10, 13, 32, 0.15);
    }

    private static double mean(FleetSimulation.Load load, ToDoubleFunction<FleetSimulation.Result> figure) {
        return IntStream.range(0, SEEDS)
                .mapToDouble(seed -> figure.applyAsDouble(FleetSimulation.replay(load, seed)))
                .average()
                .orElseThrow();
    }

    @Test
    void nineOfTenRequestsMeetAServerThatKnowsTheirObject() {
        assertThat(mean(reads(1, 1), FleetSimulation.Result::warmShare)).isGreaterThan(0.9);
    }

    @Test
    void wavesOfThreeRegionsWithUnevenServersAreServedInTime() {
        assertThat(mean(reads(1, 1), FleetSimulation.Result::credit)).isGreaterThan(0.85);
    }

    @Test
    void burstAtPeakLoadDoesNotTurnAwayMoreThanOneInTwenty() {
        assertThat(mean(reads(1.25, 1.7), r -> (double) r.refused / r.asked)).isLessThan(0.05);
        assertThat(mean(reads(1.25, 1.7), FleetSimulation.Result::credit)).isGreaterThan(0.75);
    }

    @Test
    void callersOfTheRegionWithFewServersAreNotLeftBehind() {
        assertThat(mean(reads(1, 1), r -> r.byRegion[1][0] / r.byRegion[1][1])).isGreaterThan(0.75);
    }

    /** Requests of two seconds at twice the usual rate: a server's load is told seldom and must be believed for longer. */
    @Test
    void burstOfSlowRequestsIsNotSentToFullServers() {
        FleetSimulation.Load load = new FleetSimulation.Load(
                UNEVEN, 3, 3, 2_040, 1_206, 10_000, 5_000, 12, 0.55, 24, 25, 2, 8, 16, 32, 0.15);

        assertThat(mean(load, r -> (double) r.shed / r.runs)).isLessThan(0.05);
    }

    /** Ninety VMs of which each sees few requests for any object: what one has sent, the others must make use of. */
    @Test
    void largeFleetSendsObjectsWhereAnotherVmSentThem() {
        FleetSimulation.Load load = new FleetSimulation.Load(
                List.of(12, 54, 66), 30, 5, 880, 600, 4_000, 2_500, 195, 0.55, 209, 20, 1, 10, 13, 30, 0.15);

        FleetSimulation.Result r = FleetSimulation.replay(load, 1);

        assertThat(r.warmShare()).isGreaterThan(0.9);
        assertThat(r.credit()).isGreaterThan(0.9);
    }

    @Test
    void serversAreNotSentMoreThanTheyQueue() {
        assertThat(mean(reads(1.25, 1.7), r -> (double) r.shed / r.runs)).isLessThan(0.02);
    }
}
