package org.lycheetray.core.allowance;

import java.time.Duration;
import java.util.Optional;
import org.lycheetray.core.time.MonotonicTime;

/**
 * Token bucket of this VM's share of the rate of requests that one backend server accepts from the fleet. Its capacity
 * is one token, so that all VMs with a share can send at most one request each beyond the rate. Not thread-safe.
 */
public final class ServerRateBucket {
    private static final double NANOS_PER_SECOND = 1e9;

    private double tokens;
    private double perSecond;
    private MonotonicTime refilledAt;
    private boolean hasShare;

    /**
     * Creates an empty bucket without a share.
     *
     * @param now current time
     */
    public ServerRateBucket(MonotonicTime now) {
        refilledAt = now;
    }

    /**
     * Adds the tokens that have accrued, and returns whether a request may be sent.
     *
     * @param rate rate of the whole fleet in requests per second
     * @param share this VM's share of the rate, or empty if it must not send to the server
     * @param now current time
     * @return true if a token is available
     */
    public boolean hasToken(double rate, Optional<RateShares.Share> share, MonotonicTime now) {
        if (share.isEmpty()) {
            hasShare = false;
            return false;
        }
        if (!hasShare) {
            hasShare = true;
            tokens = share.get().initialTokens();
            refilledAt = now;
        }
        perSecond = rate * share.get().fraction();
        tokens = Math.min(1, tokens + perSecond * now.since(refilledAt).toNanos() / NANOS_PER_SECOND);
        refilledAt = now;
        return tokens >= 1;
    }

    /**
     * Returns the time until a token is available, as of the last call of {@link #hasToken}.
     *
     * @return the time, or empty if this VM has no share
     */
    public Optional<Duration> timeToToken() {
        return hasShare && perSecond > 0
                ? Optional.of(Duration.ofNanos((long) (Math.max(0, 1 - tokens) / perSecond * NANOS_PER_SECOND)))
                : Optional.empty();
    }

    /** Takes the token of a request that is being sent. */
    public void takeToken() {
        tokens--;
    }

    /** Discards the tokens and the share, as the rate no longer applies. */
    public void reset() {
        hasShare = false;
    }
}
