package org.lycheetray.core.allowance;

import org.lycheetray.core.time.MonotonicTime;

/** This VM's part of the requests that one cold backend server tolerates. For one thread. */
public final class ColdAllowance {
    private static final double NANOS_PER_SECOND = 1e9;

    private double tokens;
    private MonotonicTime refilledAt;

    /**
     * Creates an allowance without tokens.
     *
     * @param now present time
     */
    public ColdAllowance(MonotonicTime now) {
        refilledAt = now;
    }

    /**
     * Tells whether a request may be sent.
     *
     * @param perSecond requests per second of this VM's part
     * @param now present time
     * @return true if there is a token
     */
    public boolean has(double perSecond, MonotonicTime now) {
        tokens = Math.min(1, tokens + perSecond * now.since(refilledAt).toNanos() / NANOS_PER_SECOND);
        refilledAt = now;
        return tokens >= 1;
    }

    /** Takes the token of a request that is sent. */
    public void take() {
        tokens--;
    }
}
