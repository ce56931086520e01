package org.lycheetray.core.membership;

import java.time.Duration;

/**
 * Periods of the lead lease.
 *
 * @param duration how long a lease holds after the write that took or renewed it was sent
 * @param margin time that others wait beyond the duration, for clocks that run at different speeds
 * @param renewal interval between renewals, and between reads of a lease that another VM holds
 * @param answerTimeout time after which an answer of the store counts as lost
 */
public record LeadLeaseSettings(Duration duration, Duration margin, Duration renewal, Duration answerTimeout) {
    /** The settings that the daemon uses. */
    public static final LeadLeaseSettings STANDARD = new LeadLeaseSettings(
            Duration.ofSeconds(9), Duration.ofSeconds(1), Duration.ofSeconds(3), Duration.ofSeconds(2));

    /** Checks that a renewal can fail once before the lease lapses. */
    public LeadLeaseSettings {
        if (renewal.plus(answerTimeout).compareTo(duration) >= 0) {
            throw new IllegalArgumentException("a lease must outlast a renewal and its answer");
        }
    }
}
