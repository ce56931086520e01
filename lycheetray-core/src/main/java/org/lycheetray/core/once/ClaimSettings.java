package org.lycheetray.core.once;

import java.time.Duration;

/**
 * Limits of the group commit of claims.
 *
 * @param linger time that a change waits for others to share its write
 * @param maxBatch maximum number of claims in one write
 * @param maxWritesInFlight maximum number of concurrent writes
 * @param resubmitAfter delay before a write whose answer was lost is sent again
 * @param dispatchMargin time before a request's deadline from which it is no longer dispatched
 * @param storeDownAfter time without any answer from the store, while writes are pending, after which requests are
 *     refused immediately
 * @param maxClaims maximum number of claims that the process keeps in memory
 */
public record ClaimSettings(
        Duration linger,
        int maxBatch,
        int maxWritesInFlight,
        Duration resubmitAfter,
        Duration dispatchMargin,
        Duration storeDownAfter,
        int maxClaims) {
    /** Settings for a small fleet that shares a budget of several hundred store writes per second. */
    public static final ClaimSettings DEFAULT = new ClaimSettings(
            Duration.ofMillis(5), 64, 2, Duration.ofMillis(100), Duration.ofMillis(50), Duration.ofSeconds(2), 20_000);
}
