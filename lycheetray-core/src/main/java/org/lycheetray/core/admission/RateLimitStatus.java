package org.lycheetray.core.admission;

import java.time.Duration;

/**
 * Rate limit of a client account as reported in the RateLimit response headers.
 *
 * @param perSecond rate of the account over the whole fleet, in requests per second
 * @param burst burst of the account over the whole fleet, in requests
 * @param remaining requests that this VM can admit now without a loan from another VM
 * @param reset time until this VM can admit one request more than {@code remaining}, if no other requests arrive
 */
public record RateLimitStatus(long perSecond, long burst, long remaining, Duration reset) {
    private static final String POLICY_NAME = "\"account\"";

    /**
     * Returns the value of the RateLimit-Policy header. The quota is the burst and the window is the time in seconds
     * that an empty bucket takes to refill.
     *
     * @return the header value
     */
    public String policyHeader() {
        long window = perSecond == 0 ? 0 : Math.ceilDiv(burst, perSecond);
        return POLICY_NAME + ";q=" + burst + ";w=" + window;
    }

    /**
     * Returns the value of the RateLimit header.
     *
     * @return the header value
     */
    public String limitHeader() {
        return POLICY_NAME + ";r=" + remaining + ";t=" + ceilSeconds(reset);
    }

    /**
     * Returns a duration rounded up to whole seconds, at least one, as the Retry-After header requires.
     *
     * @param d the duration
     * @return the number of seconds
     */
    public static long ceilSeconds(Duration d) {
        return Math.max(1, Math.ceilDiv(d.toNanos(), Duration.ofSeconds(1).toNanos()));
    }
}
