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
public final class Demand {
    private static final long SLOT_NANOS = Duration.ofMillis(200).toNanos();
    private static final double SLOTS_PER_SECOND = 5;
    private static final double WEIGHT = 0.25;
    private static final int MAX_GROWTH = 3;
    private static final int ALWAYS_COUNTED = 3;
    private static final int FORGOTTEN_AFTER_SLOTS = 100;

    private double perSlot;
    private long arrivedInSlot;
    private long slot;

    /**
     * Starts without demand.
     *
     * @param now present point
     */
    public Demand(MonotonicTime now) {
        slot = Math.floorDiv(now.nanos(), SLOT_NANOS);
    }

    /**
     * Counts a request.
     *
     * @param now present point
     */
    public void arrived(MonotonicTime now) {
        advance(now);
        arrivedInSlot++;
    }

    /**
     * Estimates the arrival rate.
     *
     * @param now present point
     * @return requests per second
     */
    public double perSecond(MonotonicTime now) {
        advance(now);
        return perSlot * SLOTS_PER_SECOND;
    }

    private void advance(MonotonicTime now) {
        long present = Math.floorDiv(now.nanos(), SLOT_NANOS);
        if (present - slot > FORGOTTEN_AFTER_SLOTS) {
            perSlot = 0;
            arrivedInSlot = 0;
            slot = present;
        }
        while (slot < present) {
            double counted = Math.min((double) arrivedInSlot, MAX_GROWTH * perSlot + ALWAYS_COUNTED);
            perSlot += WEIGHT * (counted - perSlot);
            arrivedInSlot = 0;
            slot++;
        }
    }
}
