package org.lycheetray.core.regions;

import java.util.Map;
import org.lycheetray.core.model.RegionName;

/**
 * Status of one VM's traffic shifting for one service, for operators.
 *
 * @param interval number of the current interval, counted from the epoch
 * @param target target shares
 * @param current shares in the current interval
 * @param capPermille maximum shift per interval, in permille
 * @param usedPermille upper bound of the shift in the current interval, in permille
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
