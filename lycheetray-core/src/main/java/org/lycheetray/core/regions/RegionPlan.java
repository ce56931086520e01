package org.lycheetray.core.regions;

import java.util.Map;
import java.util.TreeMap;
import org.lycheetray.core.model.RegionName;

/**
 * Where one region's requests for a service should run in the end, before any limit on how fast they move.
 *
 * <p>A region keeps its own requests up to a high share of its capacity. What is above, or everything if the region is
 * drained or lost, goes to the open regions in proportion to their headroom, and never beyond it: what fits nowhere is
 * left out and is refused early.
 */
public final class RegionPlan {
    /** Part of a region's capacity that plans fill; the rest absorbs variation. */
    public static final double MAX_UTILIZATION = 0.9;

    private RegionPlan() {}

    /**
     * Makes the plan for one region.
     *
     * @param home the region whose callers' requests are planned
     * @param conditions all regions
     * @param remoteCost slots that a request from another region takes relative to one of the same region, at least 1:
     *     its slot is held while the grant, the request, the answer and the release travel
     * @return part of the requests for each region, positive ones only; the sum is less than 1 if they fit nowhere
     */
    public static Map<RegionName, Double> shares(
            RegionName home, Map<RegionName, RegionCondition> conditions, double remoteCost) {
        TreeMap<RegionName, Double> shares = new TreeMap<>();
        double away = totalExcess(conditions) * remoteCost;
        double own = localShare(conditions.get(home));
        if (own > 0) {
            shares.put(home, own);
        }
        double room =
                conditions.values().stream().mapToDouble(RegionPlan::headroom).sum();
        double fits = away <= 0 ? 0 : Math.min(1, room / away);
        if (own < 1 && room > 0) {
            conditions.forEach((r, c) -> {
                double part = (1 - own) * fits * headroom(c) / room;
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
     * Gives the requests per second of other regions that a region has room for.
     *
     * @param c the region
     * @return its headroom, 0 unless it is open
     */
    public static double headroom(RegionCondition c) {
        return c.state() == RegionState.OPEN ? Math.max(0, c.capacity() * MAX_UTILIZATION - c.demand()) : 0;
    }
}
