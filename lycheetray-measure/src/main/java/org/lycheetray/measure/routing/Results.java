package org.lycheetray.measure.routing;

import java.util.Arrays;
import java.util.HashMap;
import java.util.Map;
import org.HdrHistogram.Histogram;

/** Collects how requests ended. */
final class Results {
    private static final long SECOND = 1_000_000_000L;
    private static final long HIGHEST = 100 * SECOND;

    final Histogram latency = new Histogram(1_000, HIGHEST, 3);
    long refused;
    long refusedWithRoom;
    long offered;
    long timedOut;
    private final World world;
    private final long intervalNanos;
    private final Map<Long, int[][]> served = new HashMap<>();
    private final Map<Long, Histogram> bySecond = new HashMap<>();

    Results(World world, long intervalNanos) {
        this.world = world;
        this.intervalNanos = intervalNanos;
    }

    void answered(Call c, int dataCentre) {
        long nanos = world.timeline.now() - c.enteredAt();
        latency.recordValue(Math.min(nanos, HIGHEST));
        bySecond.computeIfAbsent(c.enteredAt() / SECOND, s -> new Histogram(1_000, HIGHEST, 2))
                .recordValue(Math.min(nanos, HIGHEST));
        int home = world.deployment.regionOf(c.dataCentre());
        int region = world.deployment.regionOf(dataCentre);
        served.computeIfAbsent(c.enteredAt() / intervalNanos, i -> new int[Deployment.REGIONS][Deployment.REGIONS + 1])[
                home][region]++;
    }

    void refused(Call c, boolean hadRoom) {
        refused++;
        refusedWithRoom += hadRoom ? 1 : 0;
        served.computeIfAbsent(c.enteredAt() / intervalNanos, i -> new int[Deployment.REGIONS][Deployment.REGIONS + 1])[
                world.deployment.regionOf(c.dataCentre())][Deployment.REGIONS]++;
    }

    void timedOut() {
        timedOut++;
    }

    double p(double percentile) {
        return latency.getValueAtPercentile(percentile) / 1e6;
    }

    /** Largest part of the traffic that changed its region from one interval to the next, for the same home. */
    double largestShift() {
        double largest = 0;
        for (long i : served.keySet()) {
            int[][] before = served.get(i - 1);
            int[][] after = served.get(i);
            if (before == null) {
                continue;
            }
            int total = Arrays.stream(after).flatMapToInt(Arrays::stream).sum();
            double shift = 0;
            for (int h = 0; h < Deployment.REGIONS; h++) {
                shift += shiftOf(before[h], after[h]) * Arrays.stream(after[h]).sum() / total;
            }
            largest = Math.max(largest, shift);
        }
        return largest;
    }

    private static double shiftOf(int[] before, int[] after) {
        int b = Arrays.stream(before).sum();
        int a = Arrays.stream(after).sum();
        double shift = 0;
        for (int r = 0; r < Deployment.REGIONS; r++) {
            shift += b == 0 || a == 0 ? 0 : Math.max(0, (double) after[r] / a - (double) before[r] / b);
        }
        return shift;
    }

    /** Seconds after an event until the p99 of a second stays within a factor of the steady one. */
    double settled(long eventSecond, long untilSecond, double steadyMillis, double factor) {
        long last = eventSecond - 1;
        for (long s = eventSecond; s < untilSecond; s++) {
            Histogram h = bySecond.get(s);
            if (h == null || h.getValueAtPercentile(99) / 1e6 > steadyMillis * factor) {
                last = s;
            }
        }
        return (double) (last + 1 - eventSecond);
    }
}
