package org.lycheetray.core.slots;

import java.time.Duration;

/**
 * Settings of an owner.
 *
 * @param queueLimit asks that may wait
 * @param accountQueueLimit asks of one client account that may wait
 * @param clockMargin time that a grant is counted beyond its expiry, for clocks that run at different speeds
 * @param cancelTime time that a backend server needs to notice that a holder has died
 * @param reservePermille part of the slots that requests from other regions may not take
 */
public record SlotOwnerSettings(
        int queueLimit, int accountQueueLimit, Duration clockMargin, Duration cancelTime, int reservePermille) {
    /** Default margin of a grant. */
    public static final Duration CLOCK_MARGIN = Duration.ofMillis(20);

    /** Default time until a backend server has stopped a dead holder's request. */
    public static final Duration CANCEL_TIME = Duration.ofSeconds(1);

    /** Default reserve for a region's own requests. */
    public static final int RESERVE_PERMILLE = 100;

    /** Checks the numbers. */
    public SlotOwnerSettings {
        if (queueLimit < 1 || accountQueueLimit < 1) {
            throw new IllegalArgumentException("a slot queue needs room for at least one ask");
        }
        if (reservePermille < 0 || reservePermille >= 1000) {
            throw new IllegalArgumentException("reserve out of range 0 to 999 permille: " + reservePermille);
        }
    }

    /**
     * Makes the standard settings for a queue.
     *
     * @param queueLimit asks that may wait
     * @return the settings
     */
    public static SlotOwnerSettings ofQueueLimit(int queueLimit) {
        return new SlotOwnerSettings(queueLimit, queueLimit, CLOCK_MARGIN, CANCEL_TIME, RESERVE_PERMILLE);
    }
}
