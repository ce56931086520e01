package org.lycheetray.core.placement;

import java.util.Map;
import org.lycheetray.core.model.DataCentreName;
import org.lycheetray.core.model.RegionName;
import org.lycheetray.core.model.VmName;

/**
 * What placement must know of the fleet.
 *
 * @param vm this VM
 * @param dataCentre this VM's data centre
 * @param regions region of every data centre
 * @param coldOverage factor by which a cold server's rate may be exceeded
 * @param coldSlack requests in a second that may come on top
 * @param mostShift largest part of the requests that may change their region between two windows
 */
public record PlacementSettings(
        VmName vm,
        DataCentreName dataCentre,
        Map<DataCentreName, RegionName> regions,
        double coldOverage,
        double coldSlack,
        double mostShift) {
    /** Copies the map. */
    public PlacementSettings {
        regions = Map.copyOf(regions);
    }

    /**
     * The region of a data centre.
     *
     * @param dc the data centre
     * @return its region, or one that bears its name if it is not declared
     */
    public RegionName region(DataCentreName dc) {
        RegionName r = regions.get(dc);
        return r == null ? new RegionName(dc.value()) : r;
    }
}
