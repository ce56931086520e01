package org.lycheetray.core.allowance;

import org.lycheetray.core.time.MonotonicTime;

/**
 * Token bucket that limits the requests of this VM to one cold backend server. Its capacity is one token. Not
 * thread-safe.
 */
public final class ColdServerRateLimiter {
    private static final double NANOS_PER_SECOND = 1e9;

    private double tokens;
    private MonotonicTime refilledAt;

    /**
     * Creates an empty bucket.
     *
     * @param now current time
     */
    public ColdServerRateLimiter(MonotonicTime now) {
        refilledAt = now;
    }

    /**
     * Adds the tokens that have accrued and returns whether a request may be sent.
     *
     * @param perSecond rate of this VM in requests per second
     * @param now current time
     * @return true if a token is available
     */
    public boolean hasToken(double perSecond, MonotonicTime now) {
        tokens = Math.min(1, tokens + perSecond * now.since(refilledAt).toNanos() / NANOS_PER_SECOND);
        refilledAt = now;
        return tokens >= 1;
    }

    /** Takes the token of a request that is being sent. */
    public void takeToken() {
        tokens--;
    }
}
