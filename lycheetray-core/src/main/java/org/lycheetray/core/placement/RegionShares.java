package org.lycheetray.core.placement;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.TreeMap;
import org.lycheetray.core.model.RegionName;
import org.lycheetray.core.slots.RendezvousHash;

/**
 * Deals the objects of one region's callers to the regions that have servers for them.
 *
 * <p>A region keeps as many objects as its servers can take and gives the others to the regions with servers to spare.
 * What each object's region is follows from the servers alone, so all VMs agree on it and it does not change with the
 * load.
 */
public final class RegionShares {
    /** Load that a region keeps, in proportion to its part of the servers: less than full servers leave room for it. */
    private static final double KEPT = 1.2;

    private static final double UNIT = 0x1p-53;
    private static final int UNUSED_BITS = 11;

    private final Map<RegionName, Double> shares;

    private RegionShares(Map<RegionName, Double> shares) {
        this.shares = shares;
    }

    /**
     * Plans the shares.
     *
     * @param own the callers' region
     * @param slots usable slots in each region, regions without any left out
     * @param demand part of all requests that is expected from each region, by any measure
     * @return the shares, their sum 1 unless there are no slots at all
     */
    public static RegionShares plan(RegionName own, Map<RegionName, Integer> slots, Map<RegionName, Double> demand) {
        double allSlots = slots.values().stream().mapToInt(Integer::intValue).sum();
        double allDemand =
                demand.values().stream().mapToDouble(Double::doubleValue).sum();
        Map<RegionName, Double> spare = new TreeMap<>();
        slots.forEach((r, n) -> {
            double left = n / allSlots - demand.getOrDefault(r, 0.0) / allDemand;
            if (!r.equals(own) && left > 0) {
                spare.put(r, left);
            }
        });
        double fair = demand.getOrDefault(own, 0.0) / allDemand;
        double mine = slots.getOrDefault(own, 0) / Math.max(1, allSlots);
        double kept = mine == 0 ? 0 : Math.min(1, KEPT * mine / Math.max(fair, UNIT));
        if (spare.isEmpty()) {
            slots.forEach((r, n) -> {
                if (!r.equals(own)) {
                    spare.put(r, (double) n);
                }
            });
            kept = mine == 0 ? 0 : 1;
        }
        return new RegionShares(deal(own, kept, spare));
    }

    private static Map<RegionName, Double> deal(RegionName own, double kept, Map<RegionName, Double> spare) {
        double allSpare =
                spare.values().stream().mapToDouble(Double::doubleValue).sum();
        Map<RegionName, Double> shares = new LinkedHashMap<>();
        shares.put(own, kept);
        spare.forEach((r, s) -> shares.put(r, (1 - kept) * s / allSpare));
        return shares;
    }

    /**
     * The region of an object.
     *
     * @param object the object
     * @return the region whose servers should know it
     */
    public RegionName of(String object) {
        double point = (RendezvousHash.score(object, "region") >>> UNUSED_BITS) * UNIT;
        RegionName last = null;
        for (Map.Entry<RegionName, Double> e : shares.entrySet()) {
            if (e.getValue() > 0) {
                last = e.getKey();
                point -= e.getValue();
                if (point < 0) {
                    break;
                }
            }
        }
        return last == null ? shares.keySet().iterator().next() : last;
    }

    /**
     * Part of the objects that a region is given.
     *
     * @param region the region
     * @return 0 to 1
     */
    public double share(RegionName region) {
        return shares.getOrDefault(region, 0.0);
    }
}
