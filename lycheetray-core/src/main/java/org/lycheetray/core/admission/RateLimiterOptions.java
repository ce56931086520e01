package org.lycheetray.core.admission;

import java.time.Duration;

/**
 * Options of {@link DistributedRateLimiter}.
 *
 * @param loanPeriod duration of a loan unless it is extended; must be the same on all VMs
 * @param driftMargin additional time after which the issuer regards a loan as expired, because clocks of VMs may run at
 *     different speeds; must be the same on all VMs
 * @param maxWait maximum time that a request waits for a loan
 * @param maxPendingRequests maximum number of unanswered loan requests of one client account
 */
public record RateLimiterOptions(Duration loanPeriod, Duration driftMargin, Duration maxWait, int maxPendingRequests) {
    /** Default values, suitable for fleets of two to a few hundred VMs. */
    public static final RateLimiterOptions DEFAULT =
            new RateLimiterOptions(Duration.ofSeconds(4), Duration.ofMillis(40), Duration.ofMillis(800), 12);

    /** Validates the values. */
    public RateLimiterOptions {
        if (!loanPeriod.isPositive() || driftMargin.isNegative() || maxWait.isNegative() || maxPendingRequests < 1) {
            throw new IllegalArgumentException(
                    "loan period must be positive, drift margin and maximum wait must not be negative,"
                            + " maximum pending requests must be at least 1");
        }
    }

    /**
     * Returns the time after which no loan of a process is in use any more, counted from the end of the process.
     *
     * @return the sum of loan period and drift margin
     */
    public Duration maxLoanLifetime() {
        return loanPeriod.plus(driftMargin);
    }
}
