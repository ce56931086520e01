package org.lycheetray.core.regions;

/** What a region can be used for. */
public enum RegionState {
    /** Takes traffic. */
    OPEN,
    /** Is being emptied for a planned drain. */
    DRAINING,
    /** Has failed or cannot be reached. */
    LOST
}
