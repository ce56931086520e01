package org.lycheetray.daemon.lifecycle;

import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicReference;

/** The daemon's phase and its number of requests in progress; safe for all threads. */
public final class Lifecycle {
    private final AtomicReference<Phase> phase = new AtomicReference<>(Phase.STARTING);
    private final AtomicInteger inProgress = new AtomicInteger();

    /**
     * The present phase.
     *
     * @return the phase
     */
    public Phase phase() {
        return phase.get();
    }

    /**
     * Moves on to a later phase; an earlier one is ignored.
     *
     * @param next the phase
     */
    public void advance(Phase next) {
        phase.accumulateAndGet(next, (a, b) -> a.compareTo(b) >= 0 ? a : b);
    }

    /** Notes that a request began. */
    public void began() {
        inProgress.incrementAndGet();
    }

    /** Notes that a request ended. */
    public void ended() {
        inProgress.decrementAndGet();
    }

    /**
     * Counts the requests that have begun and not ended.
     *
     * @return the number
     */
    public int inProgress() {
        return inProgress.get();
    }
}
