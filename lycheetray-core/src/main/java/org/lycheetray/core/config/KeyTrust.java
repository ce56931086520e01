package org.lycheetray.core.config;

import org.lycheetray.core.model.RouteClass;

/** Which keyed requests a VM may run, by the freshness of its configuration. */
public enum KeyTrust {
    /** Fresh: all of them. */
    ALL,
    /** Cut off for less than the manifest's limit: those that do no harm if a key was withdrawn meanwhile. */
    READ_AND_QUEUE,
    /** Cut off for longer, or never in contact since the start: none. */
    NONE;

    /**
     * Tells whether a keyed request may run.
     *
     * @param routeClass class of its route
     * @return false if it must be refused as not run
     */
    public boolean permits(RouteClass routeClass) {
        return switch (this) {
            case ALL -> true;
            case READ_AND_QUEUE -> routeClass != RouteClass.ONCE;
            case NONE -> false;
        };
    }
}
