package org.lycheetray.core.regions;

/** Whether a region accepts traffic. */
public enum RegionState {
    /** Accepts traffic. */
    OPEN,
    /** Traffic is being moved away for a planned drain. */
    DRAINING,
    /** Has failed or is unreachable. */
    LOST
}
