package org.lycheetray.core.health;

/** How a backend server is treated at present; shown to operators. */
public enum ServerState {
    /** Gets its full share. */
    IN_USE,
    /** Fresh or just readmitted: gets a growing part of its slots. */
    SLOW_START,
    /** Asked to be left alone for a moment. */
    SHEDDING,
    /** Failed requests, or reports itself unhealthy while nothing shows the opposite. */
    EJECTED,
    /** Failed, but kept in use because too many others of its service are ejected. */
    KEPT,
    /** About to stop: gets nothing new, whatever else holds. */
    LEAVING
}
