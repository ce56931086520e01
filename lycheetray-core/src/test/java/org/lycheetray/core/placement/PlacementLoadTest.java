package org.lycheetray.core.placement;

import org.junit.jupiter.api.Test;

class PlacementLoadTest {
    private static FleetSimulation.Load reads(double factor, double burst) {
        return new FleetSimulation.Load(
                new int[] {6, 2, 4},
                3,
                3,
                640,
                400,
                3_000,
                1_500,
                24.3 * factor,
                0.55,
                24,
                25,
                burst,
                10,
                13,
                32,
                0.15);
    }

    @Test
    void print() {
        for (double f : new double[] {0.66, 1, 1.25}) {
            for (double b : new double[] {1, 1.7}) {
                FleetSimulation.Result r = null;
                double credit = 0;
                double first = 0;
                for (int seed = 0; seed < 8; seed++) {
                    r = FleetSimulation.replay(reads(f, b), seed);
                    credit += r.credit() / 8;
                    first += r.credit(0, 4) / 8;
                }
                System.out.printf("factor %.2f burst %.1f mean %.3f first4 %.3f last: %s%n", f, b, credit, first, r);
            }
        }
    }
}
