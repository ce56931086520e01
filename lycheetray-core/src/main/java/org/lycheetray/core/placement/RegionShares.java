package org.lycheetray.core.placement;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.TreeMap;
import org.lycheetray.core.model.RegionName;
import org.lycheetray.core.slots.RendezvousHash;

/**
 * Distributes the objects requested by the callers of one region over the regions that have servers.
 *
 * <p>A region keeps as many objects as its servers can handle; the rest is distributed over the regions with spare
 * capacity. The region of an object depends only on the registered servers, so all VMs agree on it and it does not
 * change with the load.
 */
public final class RegionShares {
    /**
     * Load that a region keeps, relative to its share of all slots. It is above 1 because the servers are not fully
     * loaded.
     */
    private static final double LOCAL_SHARE_FACTOR = 1.2;

    private static final double UNIT = 0x1p-53;
    private static final int UNUSED_BITS = 11;

    private final Map<RegionName, Double> shares;

    private RegionShares(Map<RegionName, Double> shares) {
        this.shares = shares;
    }

    /**
     * Computes the shares for the callers of one region.
     *
     * @param local region of the callers
     * @param slots number of usable slots by region; regions without slots are absent
     * @param demand expected demand of each region, in any unit
     * @return the shares; their sum is 1 unless there are no slots
     */
    public static RegionShares plan(RegionName local, Map<RegionName, Integer> slots, Map<RegionName, Double> demand) {
        double allSlots = slots.values().stream().mapToInt(Integer::intValue).sum();
        double allDemand =
                demand.values().stream().mapToDouble(Double::doubleValue).sum();
        Map<RegionName, Double> spare = new TreeMap<>();
        slots.forEach((r, n) -> {
            double left = n / allSlots - demand.getOrDefault(r, 0.0) / allDemand;
            if (!r.equals(local) && left > 0) {
                spare.put(r, left);
            }
        });
        double demandShare = demand.getOrDefault(local, 0.0) / allDemand;
        double slotShare = slots.getOrDefault(local, 0) / Math.max(1, allSlots);
        double kept = slotShare == 0 ? 0 : Math.min(1, LOCAL_SHARE_FACTOR * slotShare / Math.max(demandShare, UNIT));
        if (spare.isEmpty()) {
            slots.forEach((r, n) -> {
                if (!r.equals(local)) {
                    spare.put(r, (double) n);
                }
            });
            kept = slotShare == 0 ? 0 : 1;
        }
        return new RegionShares(distribute(local, kept, spare));
    }

    private static Map<RegionName, Double> distribute(RegionName local, double kept, Map<RegionName, Double> spare) {
        double allSpare =
                spare.values().stream().mapToDouble(Double::doubleValue).sum();
        Map<RegionName, Double> shares = new LinkedHashMap<>();
        shares.put(local, kept);
        spare.forEach((r, s) -> shares.put(r, (1 - kept) * s / allSpare));
        return shares;
    }

    /**
     * Returns the region assigned to an object.
     *
     * @param object key of the object
     * @return the region to whose servers requests for the object are sent by preference
     */
    public RegionName regionOf(String object) {
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
     * Returns the share of the objects that is assigned to a region.
     *
     * @param region the region
     * @return a share from 0 to 1
     */
    public double share(RegionName region) {
        return shares.getOrDefault(region, 0.0);
    }
}
