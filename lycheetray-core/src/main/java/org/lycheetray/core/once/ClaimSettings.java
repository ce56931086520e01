package org.lycheetray.core.once;

import java.time.Duration;

/**
 * Limits of the group commit of claims.
 *
 * @param linger how long a change waits for others to share its write
 * @param maxBatch most changes in one write
 * @param maxWritesInFlight most writes under way at a time
 * @param resubmitAfter pause before a write whose answer was lost is sent again
 * @param dispatchMargin time before a request's deadline at which it is no longer worth dispatching
 * @param storeDownAfter time without any answer of the store, with writes unanswered, after which requests are refused
 *     at once
 * @param maxClaims most claims that this process keeps in memory
 */
public record ClaimSettings(
        Duration linger,
        int maxBatch,
        int maxWritesInFlight,
        Duration resubmitAfter,
        Duration dispatchMargin,
        Duration storeDownAfter,
        int maxClaims) {
    /** Settings for several hundred store writes a second shared by a small fleet. */
    public static final ClaimSettings DEFAULT = new ClaimSettings(
            Duration.ofMillis(5), 64, 2, Duration.ofMillis(100), Duration.ofMillis(50), Duration.ofSeconds(2), 20_000);
}
