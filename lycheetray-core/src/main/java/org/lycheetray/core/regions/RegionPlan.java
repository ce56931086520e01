package org.lycheetray.core.regions;

import java.util.Map;
import java.util.TreeMap;
import org.lycheetray.core.model.RegionName;

/**
 * Computes the target distribution of one region's requests for a service over all regions. {@link ShiftLimiter} limits
 * how fast the actual distribution approaches it.
 *
 * <p>A region runs its own requests up to {@link #MAX_UTILIZATION} of its capacity. The excess, or everything if the
 * region is drained or lost, is distributed over the open regions in proportion to their headroom and never exceeds it.
 * Requests for which no region has headroom are left out of the plan and refused early.
 */
public final class RegionPlan {
    /** Fraction of a region's capacity that a plan may use; the rest absorbs variation of the load. */
    public static final double MAX_UTILIZATION = 0.9;

    private RegionPlan() {}

    /**
     * Returns the target shares of one region's requests.
     *
     * @param home the region in which the requests enter
     * @param conditions conditions of all regions
     * @param remoteCost slot time of a request from another region relative to one from the same region, at least 1:
     *     the slot is also held while grant, request, answer and release are on the network
     * @return fraction of the requests for each region with a positive share; the sum is less than 1 if some requests
     *     fit nowhere
     */
    public static Map<RegionName, Double> shares(
            RegionName home, Map<RegionName, RegionCondition> conditions, double remoteCost) {
        TreeMap<RegionName, Double> shares = new TreeMap<>();
        double excess = totalExcess(conditions) * remoteCost;
        double local = localShare(conditions.get(home));
        if (local > 0) {
            shares.put(home, local);
        }
        double room =
                conditions.values().stream().mapToDouble(RegionPlan::headroom).sum();
        double fits = excess <= 0 ? 0 : Math.min(1, room / excess);
        if (local < 1 && room > 0) {
            conditions.forEach((r, c) -> {
                double part = (1 - local) * fits * headroom(c) / room;
                if (part > 0) {
                    shares.merge(r, part, Double::sum);
                }
            });
        }
        return shares;
    }

    private static double totalExcess(Map<RegionName, RegionCondition> conditions) {
        return conditions.values().stream()
                .mapToDouble(c -> c.demand() * (1 - localShare(c)))
                .sum();
    }

    private static double localShare(RegionCondition c) {
        if (c.state() != RegionState.OPEN) {
            return 0;
        }
        double limit = c.capacity() * MAX_UTILIZATION;
        return c.demand() <= limit ? 1 : limit / c.demand();
    }

    /**
     * Returns the headroom of a region for requests of other regions.
     *
     * @param c condition of the region
     * @return headroom in requests per second, 0 unless the region is open
     */
    public static double headroom(RegionCondition c) {
        return c.state() == RegionState.OPEN ? Math.max(0, c.capacity() * MAX_UTILIZATION - c.demand()) : 0;
    }
}
