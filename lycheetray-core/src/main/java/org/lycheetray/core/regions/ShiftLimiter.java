package org.lycheetray.core.regions;

import java.time.Instant;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import org.lycheetray.core.model.RegionName;
import org.lycheetray.core.model.ShiftCap;

/**
 * Limits how fast one service's traffic shifts between regions, for the requests that enter at one VM.
 *
 * <p>Each VM applies the cap to its own requests. The fleet's shift is the mean of the VMs' shifts weighted by their
 * requests, so it stays within the cap without coordination between VMs: if the planner, the store or links fail, the
 * last target remains and the cap still holds. The disadvantage is that a region cannot use the parts of the cap that
 * other regions leave unused.
 *
 * <p>Requests are assigned to regions in proportion to <em>shares</em>. The shares move towards the target once per
 * interval of the cap, for every cause: drain, failure, overload or return. A single request may deviate from its
 * assignment while the assigned region has no idle slot. Between two successive intervals the shift is at most the step
 * of the shares plus the deviations of both intervals; this sum is kept within the cap. Intervals are aligned to the
 * epoch, so that all VMs change their shares at the same time. Not thread-safe.
 */
public final class ShiftLimiter {
    private static final double PERMILLE = 1000;
    private static final double EPSILON = 1e-9;
    private static final int MAX_ROUNDING_REQUESTS = 2;
    private static final double MIN_STEP_CAP_FRACTION = 0.25;

    private final RegionName home;
    private ShiftCap cap;
    private TreeMap<RegionName, Double> shares = new TreeMap<>();
    private Map<RegionName, Double> target;
    private final TreeMap<RegionName, Double> assignmentCredit = new TreeMap<>();
    private long interval = Long.MIN_VALUE;
    private long requestCount;
    private long deviationCount;
    private double lastDeviationFraction;
    private double shareStep;

    private ShiftLimiter(RegionName home, ShiftCap cap) {
        this.home = home;
        this.cap = cap;
        shares.put(home, 1.0);
        target = Map.of(home, 1.0);
    }

    /**
     * Creates a limiter that initially assigns all requests to the VM's own region.
     *
     * @param home the VM's region
     * @param cap the service's cap
     * @return the limiter
     */
    public static ShiftLimiter create(RegionName home, ShiftCap cap) {
        return new ShiftLimiter(home, cap);
    }

    /**
     * Applies the cap of a new configuration.
     *
     * @param next the new cap
     */
    public void updateCap(ShiftCap next) {
        cap = next;
    }

    /**
     * Sets the target shares, which the actual shares approach step by step.
     *
     * @param next target share of each region, with a sum of at most 1; the remainder is assigned to the VM's own
     *     region, where it is refused if the region accepts no requests
     */
    public void updateTarget(Map<RegionName, Double> next) {
        double sum = next.values().stream().mapToDouble(Double::doubleValue).sum();
        TreeMap<RegionName, Double> fullTarget = new TreeMap<>(next);
        if (sum < 1) {
            fullTarget.merge(home, 1 - sum, Double::sum);
        }
        target = fullTarget;
    }

    /**
     * Assigns a new request to a region.
     *
     * @param now wall-clock time
     * @return the region in which the request should run
     */
    public RegionName assign(Instant now) {
        advanceInterval(now);
        requestCount++;
        shares.forEach((r, s) -> assignmentCredit.merge(r, s, Double::sum));
        RegionName best = assignmentCredit.entrySet().stream()
                .max(Map.Entry.<RegionName, Double>comparingByValue()
                        .thenComparing(e -> e.getKey().equals(home)))
                .orElseThrow()
                .getKey();
        assignmentCredit.merge(best, -1.0, Double::sum);
        return best;
    }

    /**
     * Requests permission to run a request in another region than the assigned one.
     *
     * @return true if the cap allows it; the deviation then counts until {@link #cancelDeviation()}
     */
    public boolean tryDeviate() {
        double allowed = Math.min(capFraction() / 2, capFraction() - shareStep - lastDeviationFraction);
        if (deviationCount + 1 + roundingRequests() > allowed * requestCount) {
            return false;
        }
        deviationCount++;
        return true;
    }

    /** Cancels a permitted deviation that was not used. */
    public void cancelDeviation() {
        deviationCount = Math.max(0, deviationCount - 1);
    }

    private void advanceInterval(Instant now) {
        long next = Math.floorDiv(now.toEpochMilli(), Math.max(1, cap.interval().toMillis()));
        if (next <= interval) {
            return;
        }
        lastDeviationFraction = requestCount == 0 ? 0 : (double) (deviationCount + roundingRequests()) / requestCount;
        double nextRounding = requestCount == 0 ? 0 : (double) MAX_ROUNDING_REQUESTS / requestCount;
        interval = next;
        requestCount = 0;
        deviationCount = 0;
        assignmentCredit.clear();
        stepShares(
                Math.max(capFraction() * MIN_STEP_CAP_FRACTION, capFraction() - lastDeviationFraction - nextRounding));
    }

    /** Returns a bound for the rounding difference between assignments and shares, less than one request per region. */
    private int roundingRequests() {
        return Math.min(MAX_ROUNDING_REQUESTS, shares.size() - 1);
    }

    private double capFraction() {
        return cap.permille() / PERMILLE;
    }

    private void stepShares(double maxStep) {
        double distance = distanceToTarget();
        shareStep = 0;
        if (distance < EPSILON) {
            return;
        }
        double part = Math.min(1, maxStep / distance);
        shareStep = part * distance;
        TreeMap<RegionName, Double> next = new TreeMap<>();
        for (RegionName r : allRegions()) {
            double from = shares.getOrDefault(r, 0.0);
            double to = target.getOrDefault(r, 0.0);
            double s = from + part * (to - from);
            if (s > EPSILON) {
                next.put(r, s);
            }
        }
        shares = next;
    }

    private double distanceToTarget() {
        return allRegions().stream()
                .mapToDouble(r -> Math.max(0, target.getOrDefault(r, 0.0) - shares.getOrDefault(r, 0.0)))
                .sum();
    }

    private Set<RegionName> allRegions() {
        Set<RegionName> all = new HashSet<>(shares.keySet());
        all.addAll(target.keySet());
        return all;
    }

    /**
     * Returns the status for operators.
     *
     * @return target, current shares and use of the cap
     */
    public ShiftStatus status() {
        double deviation = requestCount == 0 ? 0 : (double) deviationCount / requestCount;
        return new ShiftStatus(
                interval, target, shares, cap.permille(), (shareStep + lastDeviationFraction + deviation) * PERMILLE);
    }
}
