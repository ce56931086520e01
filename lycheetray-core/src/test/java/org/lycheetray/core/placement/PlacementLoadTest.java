package org.lycheetray.core.placement;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.function.ToDoubleFunction;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

/** Simulates load patterns and checks the results against the operators' requirements. */
class PlacementLoadTest {
    private static final int SEEDS = 6;
    /** Number of servers in each of three regions; uneven, so that load has to move between regions. */
    private static final List<Integer> SERVERS = List.of(6, 2, 4);

    private static FleetSimulation.Load readLoad(double factor, double burst) {
        return new FleetSimulation.Load(
                SERVERS, 3, 3, 640, 400, 3_000, 1_500, 24.3 * factor, 0.55, 24, 25, burst, 10, 13, 32, 0.15);
    }

    private static double mean(FleetSimulation.Load load, ToDoubleFunction<FleetSimulation.Result> metric) {
        return IntStream.range(0, SEEDS)
                .mapToDouble(seed -> metric.applyAsDouble(FleetSimulation.simulate(load, seed)))
                .average()
                .orElseThrow();
    }

    @Test
    void moreThanNineOfTenRequestsHitTheCache() {
        assertThat(mean(readLoad(1, 1), FleetSimulation.Result::cacheHitShare)).isGreaterThan(0.9);
    }

    @Test
    void periodicLoadInUnevenRegionsMeetsTargetLatency() {
        assertThat(mean(readLoad(1, 1), FleetSimulation.Result::credit)).isGreaterThan(0.85);
    }

    @Test
    void burstAtPeakLoadRefusesLessThanOneInTwenty() {
        assertThat(mean(readLoad(1.25, 1.7), r -> (double) r.refused / r.requests))
                .isLessThan(0.05);
        assertThat(mean(readLoad(1.25, 1.7), FleetSimulation.Result::credit)).isGreaterThan(0.75);
    }

    @Test
    void callersInTheRegionWithFewestServersMeetTargetLatency() {
        assertThat(mean(readLoad(1, 1), r -> r.byRegion[1][0] / r.byRegion[1][1]))
                .isGreaterThan(0.75);
    }

    /**
     * Requests of 2 s at twice the usual rate. Servers report their load with responses, which are rare here. If a
     * reported load decayed too early, requests would be sent to servers whose queues are full.
     */
    @Test
    void burstOfSlowRequestsIsRarelyShed() {
        FleetSimulation.Load load = new FleetSimulation.Load(
                SERVERS, 3, 3, 2_040, 1_206, 10_000, 5_000, 12, 0.55, 24, 25, 2, 8, 16, 32, 0.15);

        assertThat(mean(load, r -> (double) r.shed / r.runs)).isLessThan(0.05);
    }

    /**
     * Ninety VMs, each of which receives few requests for any one object. The cache hit share stays high only if all
     * VMs select the same servers for an object.
     */
    @Test
    void vmsOfALargeFleetAgreeOnTheServerOfAnObject() {
        FleetSimulation.Load load = new FleetSimulation.Load(
                List.of(12, 54, 66), 30, 5, 880, 600, 4_000, 2_500, 195, 0.55, 209, 20, 1, 10, 13, 30, 0.15);

        FleetSimulation.Result r = FleetSimulation.simulate(load, 1);

        assertThat(r.cacheHitShare()).isGreaterThan(0.9);
        assertThat(r.credit()).isGreaterThan(0.9);
    }

    @Test
    void fewRequestsAreShedInABurst() {
        assertThat(mean(readLoad(1.25, 1.7), r -> (double) r.shed / r.runs)).isLessThan(0.02);
    }
}
