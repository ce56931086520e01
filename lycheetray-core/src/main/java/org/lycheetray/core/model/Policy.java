package org.lycheetray.core.model;

import java.time.Duration;

/**
 * Settings of the whole fleet that operators may change.
 *
 * @param keyFreshnessLimit how long a VM that is cut off from the configuration goes on serving keyed {@code read} and
 *     {@code queue} routes; zero is strict
 * @param lookupTtl how long callers may cache a look-up's answer
 * @param claimHorizon how long an idempotency key is remembered; older keys are refused
 * @param drainLimit longest time that a planned stop may take
 * @param maxBodyBytes largest request body accepted
 */
public record Policy(
        Duration keyFreshnessLimit, Duration lookupTtl, Duration claimHorizon, Duration drainLimit, long maxBodyBytes) {
    /** What applies where a manifest says nothing. */
    public static final Policy DEFAULT = new Policy(
            Duration.ofSeconds(10), Duration.ofSeconds(30), Duration.ofHours(24), Duration.ofSeconds(60), 16L << 20);
}
