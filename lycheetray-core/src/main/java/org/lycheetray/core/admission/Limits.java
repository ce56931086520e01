package org.lycheetray.core.admission;

import java.time.Duration;

/**
 * A client account's limits as the RateLimit headers state them.
 *
 * @param perSecond rate of the account over the whole fleet, tokens per second
 * @param burst burst of the account over the whole fleet, tokens
 * @param remaining requests that this VM can admit now without asking another VM
 * @param reset time until this VM can admit one more than {@code remaining}, if nobody else sends
 */
public record Limits(long perSecond, long burst, long remaining, Duration reset) {
    private static final String POLICY_NAME = "\"account\"";

    /**
     * Renders the RateLimit-Policy header: as many requests as the burst in the time that it takes to refill.
     *
     * @return value of the header
     */
    public String policyHeader() {
        long window = perSecond == 0 ? 0 : Math.ceilDiv(burst, perSecond);
        return POLICY_NAME + ";q=" + burst + ";w=" + window;
    }

    /**
     * Renders the RateLimit header.
     *
     * @return value of the header
     */
    public String limitHeader() {
        return POLICY_NAME + ";r=" + remaining + ";t=" + ceilSeconds(reset);
    }

    /**
     * Rounds up to whole seconds, at least one, as Retry-After wants it.
     *
     * @param d a duration
     * @return whole seconds
     */
    public static long ceilSeconds(Duration d) {
        return Math.max(1, Math.ceilDiv(d.toNanos(), Duration.ofSeconds(1).toNanos()));
    }
}
