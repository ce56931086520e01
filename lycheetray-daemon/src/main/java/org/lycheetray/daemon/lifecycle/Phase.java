package org.lycheetray.daemon.lifecycle;

/** Where a daemon is between start and exit. */
public enum Phase {
    /** Started, but not ready: no configuration or no fresh one yet. */
    STARTING,
    /** Serves everything. */
    SERVING,
    /** Announced that it leaves; left look-ups, but still serves callers that cached an answer. */
    LEAVING,
    /** Refuses new requests as not run and finishes those that it has. */
    DRAINING,
    /** Flushes and closes. */
    STOPPED
}
