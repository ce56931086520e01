package org.lycheetray.core.fair;

/**
 * Bounds of a {@link FairQueue}.
 *
 * @param total requests that may wait altogether, at least 1
 * @param perAccount requests of one client account that may wait, at least 1
 */
public record FairQueueLimits(int total, int perAccount) {
    /** Checks the bounds. */
    public FairQueueLimits {
        if (total < 1 || perAccount < 1) {
            throw new IllegalArgumentException(
                    "a fair queue needs room for at least one request: total " + total + ", per account " + perAccount);
        }
    }
}
