package org.lycheetray.core.stop;

import java.time.Duration;
import org.lycheetray.core.time.DurationUtil;
import org.lycheetray.core.time.MonotonicTime;

/**
 * The schedule of a planned stop.
 *
 * <p>All decisions depend on the time alone, so that they hold even if a step of the stop is carried out late.
 *
 * @param start time of the stop request
 * @param gracePeriod time from the stop request to the forced end of the process
 */
public record StopSchedule(MonotonicTime start, Duration gracePeriod) {
    /**
     * Time after a stop request during which new requests are still accepted. Longer than the TTL of look-up answers,
     * because callers notice the stop only when their look-up answers expire.
     */
    private static final Duration LEAVING_PERIOD = Duration.ofMillis(2_600);

    /** Fraction of the grace period after which requests still in progress are ended. */
    private static final double REQUEST_FRACTION = 0.92;

    /** Fraction of the grace period after which replies that were not delivered are given up. */
    private static final double DELIVERY_FRACTION = 0.97;

    /**
     * Returns when new requests begin to be refused.
     *
     * @return a time that is not after {@link #requestLimit}
     */
    public MonotonicTime serveUntil() {
        MonotonicTime t = start.plus(LEAVING_PERIOD);
        return t.isBefore(requestLimit()) ? t : requestLimit();
    }

    /**
     * Returns when the requests still in progress are ended.
     *
     * @return a time before the end of the grace period, so that the replies can be delivered
     */
    public MonotonicTime requestLimit() {
        return start.plus(DurationUtil.scaled(gracePeriod, REQUEST_FRACTION));
    }

    /**
     * Returns when replies that were not delivered are given up.
     *
     * @return a time before the end of the grace period
     */
    public MonotonicTime deliveryLimit() {
        return start.plus(DurationUtil.scaled(gracePeriod, DELIVERY_FRACTION));
    }

    /**
     * Returns whether new requests are accepted.
     *
     * @param now current time
     * @return false if they are to be refused as not run
     */
    public boolean accepts(MonotonicTime now) {
        return now.isBefore(serveUntil());
    }

    /**
     * Returns whether an attempt that is started now ends before the stop ends it.
     *
     * @param answerTime time within which the server is likely to answer
     * @param deadline deadline of the request, at which the attempt ends in any case
     * @param now current time
     * @return true if the attempt may be started
     */
    public boolean canFinish(Duration answerTime, MonotonicTime deadline, MonotonicTime now) {
        MonotonicTime limit = requestLimit();
        return now.isBefore(limit) && (!limit.isBefore(now.plus(answerTime)) || !limit.isBefore(deadline));
    }
}
