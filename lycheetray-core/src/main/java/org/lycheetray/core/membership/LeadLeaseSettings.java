package org.lycheetray.core.membership;

import java.time.Duration;

/**
 * Durations and intervals of the lead lease.
 *
 * @param duration validity of the lease, counted from the time at which the acquiring or renewing write was sent
 * @param margin additional time that a contender waits after the duration, to allow for clock drift
 * @param renewal interval between renewals, and between reads of a lease held by another VM
 * @param answerTimeout time after which a response of the store counts as lost
 */
public record LeadLeaseSettings(Duration duration, Duration margin, Duration renewal, Duration answerTimeout) {
    /** Settings used by the daemon. */
    public static final LeadLeaseSettings STANDARD = new LeadLeaseSettings(
            Duration.ofSeconds(9), Duration.ofSeconds(1), Duration.ofSeconds(3), Duration.ofSeconds(2));

    /** Checks that the lease is still valid after a renewal that timed out. */
    public LeadLeaseSettings {
        if (renewal.plus(answerTimeout).compareTo(duration) >= 0) {
            throw new IllegalArgumentException(
                    "lease duration must exceed the renewal interval plus the answer timeout");
        }
    }
}
