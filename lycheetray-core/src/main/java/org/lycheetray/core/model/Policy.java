package org.lycheetray.core.model;

import java.time.Duration;

/**
 * Fleet-wide settings of a manifest.
 *
 * @param keyFreshnessLimit how long a VM whose configuration can no longer be confirmed continues to serve keyed
 *     requests to {@code read} and {@code queue} routes; zero stops them as soon as the configuration is no longer
 *     fresh
 * @param lookupTtl how long callers may cache the answer of a look-up
 * @param claimHorizon how long idempotency keys are stored; older keys are refused
 * @param drainLimit maximum duration of a planned stop
 * @param maxBodyBytes maximum size of a request body, in bytes
 */
public record Policy(
        Duration keyFreshnessLimit, Duration lookupTtl, Duration claimHorizon, Duration drainLimit, long maxBodyBytes) {
    /** Default values of the fields that a manifest omits. */
    public static final Policy DEFAULT = new Policy(
            Duration.ofSeconds(10), Duration.ofSeconds(30), Duration.ofHours(24), Duration.ofSeconds(60), 16L << 20);
}
