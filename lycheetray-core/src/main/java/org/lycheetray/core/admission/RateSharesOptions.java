package org.lycheetray.core.admission;

import java.time.Duration;

/**
 * Times that all VMs of a fleet must agree on, and what one VM may spend on loans.
 *
 * @param loanPeriod time that a loan lasts unless it is extended; the same on all VMs
 * @param driftMargin time that a lender waits longer than the borrower, for clocks that run at different speeds
 * @param maxWait longest time that a request waits for a loan
 * @param maxPendingRequests loan requests for one client account that may be without answer at one time
 */
public record RateSharesOptions(Duration loanPeriod, Duration driftMargin, Duration maxWait, int maxPendingRequests) {
    /** Values that suit two to a few hundred VMs. */
    public static final RateSharesOptions DEFAULT =
            new RateSharesOptions(Duration.ofSeconds(4), Duration.ofMillis(40), Duration.ofMillis(800), 12);

    /** Checks the values. */
    public RateSharesOptions {
        if (!loanPeriod.isPositive() || driftMargin.isNegative() || maxWait.isNegative() || maxPendingRequests < 1) {
            throw new IllegalArgumentException("loan period must be positive, margin and patience not negative,"
                    + " parallel requests at least 1");
        }
    }

    /**
     * The time after which nothing that a process lent is in use any more, counted from the process's end.
     *
     * @return loan period and margin
     */
    public Duration rest() {
        return loanPeriod.plus(driftMargin);
    }
}
