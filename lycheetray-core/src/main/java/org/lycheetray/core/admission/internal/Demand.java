package org.lycheetray.core.admission.internal;

import java.time.Duration;
import org.lycheetray.core.time.MonotonicTime;

/** Exponentially weighted arrival rate; steers who borrows what, but never whether the sum stays within the whole. */
public final class Demand {
    private static final double MEMORY_SECONDS = 0.6;
    private static final double NANOS_PER_SECOND = Duration.ofSeconds(1).toNanos();

    private double perSecond;
    private MonotonicTime updated;

    /**
     * Starts without demand.
     *
     * @param now present point
     */
    public Demand(MonotonicTime now) {
        updated = now;
    }

    /**
     * Counts a request.
     *
     * @param now present point
     */
    public void arrived(MonotonicTime now) {
        perSecond = perSecond(now) + 1 / MEMORY_SECONDS;
        updated = now;
    }

    /**
     * Estimates the arrival rate.
     *
     * @param now present point
     * @return requests per second
     */
    public double perSecond(MonotonicTime now) {
        double seconds = (now.nanos() - updated.nanos()) / NANOS_PER_SECOND;
        return seconds <= 0 ? perSecond : perSecond * Math.exp(-seconds / MEMORY_SECONDS);
    }
}
