package org.lycheetray.core.slots;

import java.time.Duration;

/**
 * Settings of a {@link SlotOwner}.
 *
 * @param queueLimit maximum number of queued slot requests
 * @param accountQueueLimit maximum number of queued slot requests per client account
 * @param clockMargin time that a grant counts as in use beyond its expiry, to allow for clock drift between VMs
 * @param cancelTime time that a backend server needs to detect a holder's crash and stop its requests
 * @param reservePermille share of the slots reserved for requests of the owner's region, in permille
 */
public record SlotOwnerSettings(
        int queueLimit, int accountQueueLimit, Duration clockMargin, Duration cancelTime, int reservePermille) {
    /** Default allowance for clock drift when a grant expires. */
    public static final Duration CLOCK_MARGIN = Duration.ofMillis(20);

    /** Default time until a backend server has stopped the requests of a crashed holder. */
    public static final Duration CANCEL_TIME = Duration.ofSeconds(1);

    /** Default share of the slots reserved for requests of the owner's region. */
    public static final int RESERVE_PERMILLE = 100;

    /** Validates the limits. */
    public SlotOwnerSettings {
        if (queueLimit < 1 || accountQueueLimit < 1) {
            throw new IllegalArgumentException("slot queue limits must be at least 1");
        }
        if (reservePermille < 0 || reservePermille >= 1000) {
            throw new IllegalArgumentException("slot reserve must be 0 to 999 permille: " + reservePermille);
        }
    }

    /**
     * Returns the default settings with a given queue limit.
     *
     * @param queueLimit maximum number of queued slot requests
     * @return the settings
     */
    public static SlotOwnerSettings ofQueueLimit(int queueLimit) {
        return new SlotOwnerSettings(queueLimit, queueLimit, CLOCK_MARGIN, CANCEL_TIME, RESERVE_PERMILLE);
    }
}
