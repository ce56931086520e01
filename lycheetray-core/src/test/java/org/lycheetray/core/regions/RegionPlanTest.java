package org.lycheetray.core.regions;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.Map;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.DoubleRange;
import org.junit.jupiter.api.Test;
import org.lycheetray.core.model.Link;
import org.lycheetray.core.model.RegionName;
import org.lycheetray.core.time.MonotonicTime;

class RegionPlanTest {
    private static final RegionName A = new RegionName("a");
    private static final RegionName B = new RegionName("b");

    private static RegionCondition open(double demand) {
        return new RegionCondition(RegionState.OPEN, 100, demand);
    }

    @Test
    void regionWithHeadroomKeepsItsRequests() {
        assertThat(RegionPlan.shares(A, Map.of(A, open(80), B, open(10)), 1)).isEqualTo(Map.of(A, 1.0));
    }

    @Test
    void lostRegionLeavesOutRequestsWithoutHeadroom() {
        var lost = new RegionCondition(RegionState.LOST, 100, 80);
        assertThat(RegionPlan.shares(A, Map.of(A, lost, B, open(50)), 1)).isEqualTo(Map.of(B, 0.5));
    }

    @Test
    void higherRemoteCostNeedsMoreHeadroom() {
        var drained = new RegionCondition(RegionState.DRAINING, 100, 80);
        assertThat(RegionPlan.shares(A, Map.of(A, drained, B, open(50)), 2)).isEqualTo(Map.of(B, 0.25));
    }

    @Property(seed = "608", tries = 200)
    void combinedPlansOverloadNoRegion(
            @ForAll @DoubleRange(min = 1, max = 200) double a, @ForAll @DoubleRange(min = 1, max = 200) double b) {
        Map<RegionName, RegionCondition> both = Map.of(A, open(a), B, open(b));
        double load = a * RegionPlan.shares(A, both, 1).getOrDefault(B, 0.0)
                + b * RegionPlan.shares(B, both, 1).getOrDefault(B, 0.0);
        assertThat(load).isLessThanOrEqualTo(90.001);
    }

    @Test
    void linkBandwidthIsSplitOverVms() {
        Link link = new Link(A, B, 8, Duration.ofMillis(12));
        LinkBudget budget = LinkBudget.create(link, 500, 5, MonotonicTime.ZERO);
        long sent = 0;
        for (int ms = 0; ms < 10_000; ms++) {
            sent += budget.tryTake(1000, MonotonicTime.ZERO.plus(Duration.ofMillis(ms))) ? 1000 : 0;
        }
        assertThat(sent).isBetween(990_000L, 1_011_000L);
    }
}
