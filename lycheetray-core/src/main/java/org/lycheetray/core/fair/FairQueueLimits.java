package org.lycheetray.core.fair;

/**
 * Capacity limits of a {@link FairQueue}.
 *
 * @param total maximum number of waiting requests, at least 1
 * @param perAccount maximum number of waiting requests of one client account, at least 1
 */
public record FairQueueLimits(int total, int perAccount) {
    /** Validates the limits. */
    public FairQueueLimits {
        if (total < 1 || perAccount < 1) {
            throw new IllegalArgumentException(
                    "limits of a fair queue must be at least 1: total " + total + ", per account " + perAccount);
        }
    }
}
