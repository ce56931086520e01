package org.lycheetray.core.health;

/** Current state of a backend server, as shown to operators. */
public enum ServerState {
    /** Receives its full share of requests. */
    IN_USE,
    /** New or just readmitted; a growing share of its slots is used. */
    SLOW_START,
    /** Shed a request and receives none for a short time. */
    SHEDDING,
    /** Ejected after failed requests, or after reporting itself unhealthy without recent answers to the contrary. */
    EJECTED,
    /** Failed, but kept in use because the maximum share of the servers of its service is already ejected. */
    KEPT,
    /** Shutting down or drained; receives no new requests in any case. */
    LEAVING
}
