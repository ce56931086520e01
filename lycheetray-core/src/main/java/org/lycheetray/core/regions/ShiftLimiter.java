package org.lycheetray.core.regions;

import java.time.Instant;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import org.lycheetray.core.model.RegionName;
import org.lycheetray.core.model.ShiftCap;

/**
 * Keeps the moves of one service's traffic between regions within their cap, for the requests that enter at one VM.
 *
 * <p>Each VM obeys the cap on its own requests. The fleet's shift is the mean of the VMs' shifts weighted by their
 * requests, so it obeys too, without any agreement that could fail: with planner, store or links gone the last target
 * stands and the cap still holds. The price is that a region with a third of the traffic cannot use the others' parts
 * of the cap.
 *
 * <p>All requests are assigned to regions in proportion to <em>shares</em>, which move towards the target once per
 * interval of the cap, whatever the cause: drain, failure, overload or return. A single request may deviate from its
 * assignment while that region has no idle slot. In two successive intervals the shift is at most the step of the shares
 * plus the deviations of both intervals, and that sum is kept within the cap. Intervals are aligned to the epoch, so
 * that all VMs step together. For one thread.
 */
public final class ShiftLimiter {
    private static final double PERMILLE = 1000;
    private static final double EPSILON = 1e-9;
    private static final int MAX_ROUNDING = 2;
    private static final double LEAST_STEP = 0.25;

    private final RegionName home;
    private ShiftCap cap;
    private TreeMap<RegionName, Double> shares = new TreeMap<>();
    private Map<RegionName, Double> target;
    private final TreeMap<RegionName, Double> credit = new TreeMap<>();
    private long interval = Long.MIN_VALUE;
    private long arrivals;
    private long deviations;
    private double lastDeviation;
    private double step;

    private ShiftLimiter(RegionName home, ShiftCap cap) {
        this.home = home;
        this.cap = cap;
        shares.put(home, 1.0);
        target = Map.of(home, 1.0);
    }

    /**
     * Creates the limiter of a VM whose requests all run in its own region.
     *
     * @param home the VM's region
     * @param cap the service's cap
     * @return the limiter
     */
    public static ShiftLimiter create(RegionName home, ShiftCap cap) {
        return new ShiftLimiter(home, cap);
    }

    /**
     * Sets the cap of a new configuration.
     *
     * @param next the cap
     */
    public void cap(ShiftCap next) {
        cap = next;
    }

    /**
     * Sets where requests should run in the end; approached step by step.
     *
     * @param next share for each region, their sum at most 1; what is missing stays where it is, or is refused if its
     *     region takes nothing
     */
    public void aim(Map<RegionName, Double> next) {
        double sum = next.values().stream().mapToDouble(Double::doubleValue).sum();
        TreeMap<RegionName, Double> whole = new TreeMap<>(next);
        if (sum < 1) {
            whole.merge(home, 1 - sum, Double::sum);
        }
        target = whole;
    }

    /**
     * Assigns a request that has arrived to a region.
     *
     * @param now wall-clock time
     * @return the region that it should run in
     */
    public RegionName assign(Instant now) {
        roll(now);
        arrivals++;
        shares.forEach((r, s) -> credit.merge(r, s, Double::sum));
        RegionName best = credit.entrySet().stream()
                .max(Map.Entry.<RegionName, Double>comparingByValue()
                        .thenComparing(e -> e.getKey().equals(home)))
                .orElseThrow()
                .getKey();
        credit.merge(best, -1.0, Double::sum);
        return best;
    }

    /**
     * Asks to run a request in another region than it was assigned to.
     *
     * @return true if the cap allows it; it then counts until it is given back
     */
    public boolean tryDeviate() {
        double allowed = Math.min(capShare() / 2, capShare() - step - lastDeviation);
        if (deviations + 1 + rounding() > allowed * arrivals) {
            return false;
        }
        deviations++;
        return true;
    }

    /** Gives a deviation back that did not come about. */
    public void giveBackDeviation() {
        deviations = Math.max(0, deviations - 1);
    }

    private void roll(Instant now) {
        long next = Math.floorDiv(now.toEpochMilli(), Math.max(1, cap.interval().toMillis()));
        if (next <= interval) {
            return;
        }
        lastDeviation = arrivals == 0 ? 0 : (double) (deviations + rounding()) / arrivals;
        double nextRounding = arrivals == 0 ? 0 : (double) MAX_ROUNDING / arrivals;
        interval = next;
        arrivals = 0;
        deviations = 0;
        credit.clear();
        stepShares(Math.max(capShare() * LEAST_STEP, capShare() - lastDeviation - nextRounding));
    }

    /** Assignments differ from the shares by less than one request per region, when there are several. */
    private int rounding() {
        return Math.min(MAX_ROUNDING, shares.size() - 1);
    }

    private double capShare() {
        return cap.permille() / PERMILLE;
    }

    private void stepShares(double largest) {
        double distance = distance();
        step = 0;
        if (distance < EPSILON) {
            return;
        }
        double part = Math.min(1, largest / distance);
        step = part * distance;
        TreeMap<RegionName, Double> next = new TreeMap<>();
        for (RegionName r : regions()) {
            double from = shares.getOrDefault(r, 0.0);
            double to = target.getOrDefault(r, 0.0);
            double s = from + part * (to - from);
            if (s > EPSILON) {
                next.put(r, s);
            }
        }
        shares = next;
    }

    private double distance() {
        return regions().stream()
                .mapToDouble(r -> Math.max(0, target.getOrDefault(r, 0.0) - shares.getOrDefault(r, 0.0)))
                .sum();
    }

    private Set<RegionName> regions() {
        Set<RegionName> all = new HashSet<>(shares.keySet());
        all.addAll(target.keySet());
        return all;
    }

    /**
     * Reports for operators.
     *
     * @return target, shares and use of the cap
     */
    public ShiftStatus status() {
        double deviation = arrivals == 0 ? 0 : (double) deviations / arrivals;
        return new ShiftStatus(interval, target, shares, cap.permille(), (step + lastDeviation + deviation) * PERMILLE);
    }
}
