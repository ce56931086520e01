package org.lycheetray.core.admission.internal;

import java.time.Duration;
import org.lycheetray.core.time.MonotonicTime;

/**
 * Estimates a client account's lasting arrival rate at one VM; steers who borrows what, but never whether the sum stays
 * within the whole.
 *
 * <p>An exponentially weighted average over short slots, in which a slot counts for at most a small multiple of the
 * average so far. So a burst does not look like lasting demand, demand that lasts is known after a few slots, and demand
 * that has ended is soon forgotten.
 */
public final class DemandEstimator {
    private static final long SLOT_NANOS = Duration.ofMillis(200).toNanos();
    private static final double SLOTS_PER_SECOND = 5;
    private static final double SMOOTHING_FACTOR = 0.25;
    private static final int MAX_GROWTH_FACTOR = 3;
    private static final int MIN_COUNT_LIMIT = 3;
    private static final int RESET_AFTER_SLOTS = 100;

    private double averagePerSlot;
    private long requestsInSlot;
    private long slot;

    /**
     * Starts without demand.
     *
     * @param now present point
     */
    public DemandEstimator(MonotonicTime now) {
        slot = Math.floorDiv(now.nanos(), SLOT_NANOS);
    }

    /**
     * Counts a request.
     *
     * @param now present point
     */
    public void recordRequest(MonotonicTime now) {
        advance(now);
        requestsInSlot++;
    }

    /**
     * Estimates the arrival rate.
     *
     * @param now present point
     * @return requests per second
     */
    public double perSecond(MonotonicTime now) {
        advance(now);
        return averagePerSlot * SLOTS_PER_SECOND;
    }

    private void advance(MonotonicTime now) {
        long present = Math.floorDiv(now.nanos(), SLOT_NANOS);
        if (present - slot > RESET_AFTER_SLOTS) {
            averagePerSlot = 0;
            requestsInSlot = 0;
            slot = present;
        }
        while (slot < present) {
            double counted = Math.min((double) requestsInSlot, MAX_GROWTH_FACTOR * averagePerSlot + MIN_COUNT_LIMIT);
            averagePerSlot += SMOOTHING_FACTOR * (counted - averagePerSlot);
            requestsInSlot = 0;
            slot++;
        }
    }
}
