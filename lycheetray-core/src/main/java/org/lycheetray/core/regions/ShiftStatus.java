package org.lycheetray.core.regions;

import java.util.Map;
import org.lycheetray.core.model.RegionName;

/**
 * A VM's shifts of one service's traffic, for operators.
 *
 * @param interval number of the cap's interval
 * @param target shares that are aimed at
 * @param current shares of this interval
 * @param capPermille cap of one interval
 * @param usedPermille largest shift possible in this interval, of which requests may have used a part
 */
public record ShiftStatus(
        long interval,
        Map<RegionName, Double> target,
        Map<RegionName, Double> current,
        int capPermille,
        double usedPermille) {
    /** Copies the maps. */
    public ShiftStatus {
        target = Map.copyOf(target);
        current = Map.copyOf(current);
    }
}
