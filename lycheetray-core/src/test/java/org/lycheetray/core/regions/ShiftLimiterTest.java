package org.lycheetray.core.regions;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.time.Instant;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;
import org.lycheetray.core.model.RegionName;
import org.lycheetray.core.model.ShiftCap;

class ShiftLimiterTest {
    private static final RegionName A = new RegionName("a");
    private static final RegionName B = new RegionName("b");
    private static final RegionName C = new RegionName("c");
    private static final ShiftCap CAP = new ShiftCap(100, Duration.ofSeconds(10));
    private static final int REQUESTS = 1000;

    private final ShiftLimiter limiter = ShiftLimiter.create(A, CAP);
    private long interval;

    /** Runs one interval and returns the number of requests per region; deviations go to region C. */
    private Map<RegionName, Integer> run(double deviationProbability, Random random) {
        interval++;
        Map<RegionName, Integer> ran = new TreeMap<>();
        for (int i = 0; i < REQUESTS; i++) {
            Instant now = Instant.ofEpochSecond(interval * 10).plusMillis(i * 9L);
            RegionName r = limiter.assign(now);
            if (random.nextDouble() < deviationProbability && limiter.tryDeviate()) {
                r = C;
            }
            ran.merge(r, 1, Integer::sum);
        }
        return ran;
    }

    private static double shift(Map<RegionName, Integer> before, Map<RegionName, Integer> after) {
        return after.entrySet().stream()
                        .mapToInt(e -> Math.max(0, e.getValue() - before.getOrDefault(e.getKey(), 0)))
                        .sum()
                / (double) REQUESTS;
    }

    @Test
    void drainShiftsByCapPerInterval() {
        run(0, new Random(1));
        limiter.updateTarget(Map.of(B, 1.0));
        assertThat(run(0, new Random(1)).getOrDefault(B, 0)).isBetween(95, 100);
        assertThat(run(0, new Random(1)).getOrDefault(B, 0)).isBetween(190, 200);
    }

    @Test
    void returnShiftIsLimitedByCap() {
        limiter.updateTarget(Map.of(B, 1.0));
        for (int i = 0; i < 12; i++) {
            run(0, new Random(1));
        }
        limiter.updateTarget(Map.of(A, 1.0));
        assertThat(run(0, new Random(1)).get(A)).isBetween(90, 101);
    }

    @Test
    void keepsLastTargetWithoutUpdate() {
        limiter.updateTarget(Map.of(A, 0.95, B, 0.05));
        run(0, new Random(1));
        Map<RegionName, Integer> ran = run(0, new Random(1));
        assertThat(run(0, new Random(1))).isEqualTo(ran);
    }

    @Test
    void clockSteppingBackStartsNoNewInterval() {
        limiter.updateTarget(Map.of(B, 1.0));
        run(0, new Random(1));
        long seen = limiter.status().interval();
        limiter.assign(Instant.EPOCH);
        assertThat(limiter.status().interval()).isEqualTo(seen);
    }

    @Property(seed = "607", tries = 100)
    void shiftBetweenSuccessiveIntervalsStaysWithinCap(@ForAll Random random) {
        Map<RegionName, Integer> before = run(random.nextDouble(), random);
        for (int i = 0; i < 20; i++) {
            if (random.nextInt(3) == 0) {
                double b = random.nextDouble();
                limiter.updateTarget(Map.of(A, (1 - b) / 2, B, b, C, (1 - b) / 2));
            }
            Map<RegionName, Integer> after = run(random.nextInt(3) * random.nextDouble(), random);
            assertThat(shift(before, after)).isLessThanOrEqualTo(0.1 + 2.0 / REQUESTS);
            before = after;
        }
    }
}
