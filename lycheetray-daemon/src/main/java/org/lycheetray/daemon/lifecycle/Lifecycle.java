package org.lycheetray.daemon.lifecycle;

import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicReference;

/** Tracks the phase of the daemon and the number of requests in progress. Thread-safe. */
public final class Lifecycle {
    private final AtomicReference<Phase> phase = new AtomicReference<>(Phase.STARTING);
    private final AtomicInteger requestsInProgress = new AtomicInteger();

    /**
     * Returns the current phase.
     *
     * @return the phase
     */
    public Phase phase() {
        return phase.get();
    }

    /**
     * Advances to a later phase. Has no effect if the current phase is the same or later.
     *
     * @param next the phase to advance to
     */
    public void advance(Phase next) {
        phase.accumulateAndGet(next, (a, b) -> a.compareTo(b) >= 0 ? a : b);
    }

    /** Records that a request has started. */
    public void recordRequestStart() {
        requestsInProgress.incrementAndGet();
    }

    /** Records that a request has ended. */
    public void recordRequestEnd() {
        requestsInProgress.decrementAndGet();
    }

    /**
     * Returns the number of requests that have started and not yet ended.
     *
     * @return the number of requests in progress
     */
    public int requestsInProgress() {
        return requestsInProgress.get();
    }
}
