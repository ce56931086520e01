package org.lycheetray.core.placement;

import java.util.Map;
import org.lycheetray.core.model.DataCentreName;
import org.lycheetray.core.model.RegionName;
import org.lycheetray.core.model.VmName;

/**
 * Location of the local VM and limits for the placement of requests.
 *
 * @param vm name of the local VM
 * @param dataCentre data centre of the local VM
 * @param regions region of each data centre
 * @param coldOverage factor by which the rate limit of a cold server may be exceeded
 * @param coldSlack requests per second allowed in addition to that
 * @param maxShift maximum fraction of the requests that may change their region from one window to the next
 */
public record PlacementSettings(
        VmName vm,
        DataCentreName dataCentre,
        Map<DataCentreName, RegionName> regions,
        double coldOverage,
        double coldSlack,
        double maxShift) {
    /** Copies the map. */
    public PlacementSettings {
        regions = Map.copyOf(regions);
    }

    /**
     * Returns the region of a data centre.
     *
     * @param dc the data centre
     * @return its region, or a region named like the data centre if none is declared for it
     */
    public RegionName region(DataCentreName dc) {
        RegionName r = regions.get(dc);
        return r == null ? new RegionName(dc.value()) : r;
    }
}
