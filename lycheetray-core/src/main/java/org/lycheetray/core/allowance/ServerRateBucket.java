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
    private Optional<MonotonicTime> refilledAt = Optional.empty();

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
            reset();
            return false;
        }
        perSecond = rate * share.get().fraction();
        tokens = refilledAt.isEmpty() ? share.get().initialTokens() : Math.min(1, tokens + accrued(now));
        refilledAt = Optional.of(now);
        return tokens >= 1;
    }

    private double accrued(MonotonicTime now) {
        return perSecond * now.since(refilledAt.orElseThrow()).toNanos() / NANOS_PER_SECOND;
    }

    /**
     * Returns the time until a token is available, as of the last call of {@link #hasToken}.
     *
     * @return the time, or empty if this VM has no share
     */
    public Optional<Duration> timeToToken() {
        return refilledAt.isPresent() && perSecond > 0
                ? Optional.of(Duration.ofNanos((long) (Math.max(0, 1 - tokens) / perSecond * NANOS_PER_SECOND)))
                : Optional.empty();
    }

    /** Takes the token of a request that is being sent. */
    public void takeToken() {
        tokens--;
    }

    /** Discards the tokens and the share, as the rate no longer applies. */
    public void reset() {
        refilledAt = Optional.empty();
    }
}
