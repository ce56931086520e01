package org.lycheetray.daemon.lifecycle;

/** Phases of a daemon from start to exit, in order. */
public enum Phase {
    /** Started but not ready: no configuration, or no fresh one, is available yet. */
    STARTING,
    /** Serves all requests. */
    SERVING,
    /** Has announced its leave and is no longer in look-up answers; still serves callers with a cached answer. */
    LEAVING,
    /** Refuses new requests with the outcome {@code not-run} and completes those in progress. */
    DRAINING,
    /** Flushes pending data and closes all resources. */
    STOPPED
}
