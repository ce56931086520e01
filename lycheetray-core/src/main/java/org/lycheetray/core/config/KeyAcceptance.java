package org.lycheetray.core.config;

import org.lycheetray.core.model.RouteClass;

/** The keyed requests that a VM accepts, depending on the age of its configuration. */
public enum KeyAcceptance {
    /** The configuration is fresh: all keyed requests. */
    ALL,
    /**
     * The configuration could not be confirmed for less than the manifest's freshness limit: only requests to read and
     * queue routes, which do no harm if the key was withdrawn in the meantime.
     */
    READ_AND_QUEUE,
    /** The configuration could not be confirmed for longer, or not at all since the start: no keyed requests. */
    NONE;

    /**
     * Returns whether a keyed request may run.
     *
     * @param routeClass class of the request's route
     * @return false if the request must be refused as not run
     */
    public boolean permits(RouteClass routeClass) {
        return switch (this) {
            case ALL -> true;
            case READ_AND_QUEUE -> routeClass != RouteClass.ONCE;
            case NONE -> false;
        };
    }
}
