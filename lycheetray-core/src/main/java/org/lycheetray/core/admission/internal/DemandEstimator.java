package org.lycheetray.core.admission.internal;

import java.time.Duration;
import org.lycheetray.core.time.MonotonicTime;

/**
 * Estimates the sustained arrival rate of a client account at one VM. The estimate decides how much is borrowed and
 * lent; the limit of the account holds regardless of it.
 *
 * <p>An exponentially weighted moving average over short slots. The requests of a slot are capped at a small multiple
 * of the average so far, so that a burst is not mistaken for sustained demand, while sustained demand shows after a few
 * slots and the estimate falls soon after demand has ended.
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
     * Creates an estimator without demand.
     *
     * @param now current time
     */
    public DemandEstimator(MonotonicTime now) {
        slot = Math.floorDiv(now.nanos(), SLOT_NANOS);
    }

    /**
     * Records a request.
     *
     * @param now current time
     */
    public void recordRequest(MonotonicTime now) {
        advance(now);
        requestsInSlot++;
    }

    /**
     * Returns the estimated arrival rate.
     *
     * @param now current time
     * @return requests per second
     */
    public double perSecond(MonotonicTime now) {
        advance(now);
        return averagePerSlot * SLOTS_PER_SECOND;
    }

    private void advance(MonotonicTime now) {
        long currentSlot = Math.floorDiv(now.nanos(), SLOT_NANOS);
        if (currentSlot - slot > RESET_AFTER_SLOTS) {
            averagePerSlot = 0;
            requestsInSlot = 0;
            slot = currentSlot;
        }
        while (slot < currentSlot) {
            double counted = Math.min((double) requestsInSlot, MAX_GROWTH_FACTOR * averagePerSlot + MIN_COUNT_LIMIT);
            averagePerSlot += SMOOTHING_FACTOR * (counted - averagePerSlot);
            requestsInSlot = 0;
            slot++;
        }
    }
}
