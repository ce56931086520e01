package org.lycheetray.core.admission;

import org.lycheetray.core.admission.internal.TokenBucket;
import org.lycheetray.core.model.Rate;
import org.lycheetray.core.time.MonotonicTime;

/**
 * One token bucket for the whole fleet, as a single all-knowing process would keep it.
 *
 * <p>No daemon uses it. It is the oracle that histories of admissions are checked with.
 */
public final class ExactBucket {
    private final TokenBucket bucket;

    /**
     * Creates a full bucket.
     *
     * @param rate rate and burst
     * @param now present point
     */
    public ExactBucket(Rate rate, MonotonicTime now) {
        RateShare whole = RateShare.of(rate);
        bucket = new TokenBucket(whole.rate(), whole.burst(), whole.burst(), now);
    }

    /**
     * Takes a token if there is one.
     *
     * @param now present point, not before that of an earlier call
     * @return false if there is no whole token
     */
    public boolean admit(MonotonicTime now) {
        bucket.refill(now);
        if (bucket.tokens() < RateShare.TOKEN) {
            return false;
        }
        bucket.take(RateShare.TOKEN);
        return true;
    }

    /**
     * Changes the rate in flight; adds no tokens.
     *
     * @param rate rate and burst
     * @param now present point
     */
    public void resize(Rate rate, MonotonicTime now) {
        bucket.refill(now);
        RateShare whole = RateShare.of(rate);
        bucket.resize(whole.rate(), whole.burst());
    }
}
