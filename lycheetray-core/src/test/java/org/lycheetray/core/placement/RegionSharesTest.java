package org.lycheetray.core.placement;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Map;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.lycheetray.core.model.RegionName;

class RegionSharesTest {
    private static final RegionName A = new RegionName("a");
    private static final RegionName B = new RegionName("b");
    private static final RegionName C = new RegionName("c");
    private static final Map<RegionName, Double> EQUAL_DEMAND = Map.of(A, 1.0, B, 1.0, C, 1.0);

    @Test
    void regionWithEnoughServersKeepsAllObjects() {
        assertThat(RegionShares.plan(A, Map.of(A, 18, B, 6, C, 12), EQUAL_DEMAND)
                        .share(A))
                .isEqualTo(1);
    }

    @Test
    void regionWithFewServersGivesObjectsToRegionsWithSpareCapacity() {
        RegionShares shares = RegionShares.plan(B, Map.of(A, 18, B, 6, C, 12), EQUAL_DEMAND);

        assertThat(shares.share(B)).isBetween(0.5, 0.8);
        assertThat(shares.share(A)).isGreaterThan(0.2);
        assertThat(shares.share(C)).isZero();
    }

    @Test
    void objectsAreDistributedBySharesOfRegions() {
        RegionShares shares = RegionShares.plan(B, Map.of(A, 18, B, 6, C, 12), EQUAL_DEMAND);

        long home = IntStream.range(0, 2_000)
                .filter(i -> shares.regionOf("object " + i).equals(B))
                .count();

        assertThat(home / 2_000.0).isBetween(shares.share(B) - 0.05, shares.share(B) + 0.05);
    }

    @Test
    void fewObjectsMoveWhenServersAreAdded() {
        RegionShares before = RegionShares.plan(B, Map.of(A, 18, B, 6, C, 12), EQUAL_DEMAND);
        RegionShares after = RegionShares.plan(B, Map.of(A, 18, B, 9, C, 12), EQUAL_DEMAND);

        long moved = IntStream.range(0, 2_000)
                .filter(i -> !before.regionOf("object " + i).equals(after.regionOf("object " + i)))
                .count();

        assertThat(moved / 2_000.0).isLessThan(after.share(B) - before.share(B) + 0.05);
    }

    @Test
    void regionWithoutServersKeepsNoObjects() {
        RegionShares shares = RegionShares.plan(B, Map.of(A, 3, C, 3), EQUAL_DEMAND);

        assertThat(shares.regionOf("object")).isNotEqualTo(B);
        assertThat(shares.share(B)).isZero();
    }
}
