package org.lycheetray.core.admission;

import org.lycheetray.core.admission.internal.TokenBucket;
import org.lycheetray.core.model.Rate;
import org.lycheetray.core.time.MonotonicTime;

/**
 * A single token bucket for the whole fleet, used as the reference for distributed rate limiting.
 *
 * <p>Not used in production. Tests and measurements check recorded admissions against it.
 */
public final class ReferenceTokenBucket {
    private final TokenBucket bucket;

    /**
     * Creates a full bucket.
     *
     * @param rate rate and burst of the account
     * @param now current time
     */
    public ReferenceTokenBucket(Rate rate, MonotonicTime now) {
        RateShare total = RateShare.of(rate);
        bucket = new TokenBucket(total.rate(), total.burst(), total.burst(), now);
    }

    /**
     * Takes a token if one is available.
     *
     * @param now current time, not before the time of an earlier call
     * @return true if a token was taken, false if less than one token is left
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
     * Changes rate and burst without adding tokens.
     *
     * @param rate rate and burst of the account
     * @param now current time
     */
    public void resize(Rate rate, MonotonicTime now) {
        bucket.refill(now);
        RateShare total = RateShare.of(rate);
        bucket.resize(total.rate(), total.burst());
    }
}
