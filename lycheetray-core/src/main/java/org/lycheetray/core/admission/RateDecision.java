package org.lycheetray.core.admission;

import java.time.Duration;

/** Decision on whether a request is within the rate and burst of its client account. */
public sealed interface RateDecision {
    /**
     * The request is admitted and a token was taken for it.
     *
     * @param limits rate limit for the response headers
     */
    record Admitted(RateLimitStatus limits) implements RateDecision {}

    /**
     * The request is refused.
     *
     * @param reason reason of the refusal
     * @param retryAfter time after which a retry is admitted if no other requests of the account arrive
     * @param limits rate limit for the response headers
     */
    record Refused(Reason reason, Duration retryAfter, RateLimitStatus limits) implements RateDecision {}

    /**
     * The request is waiting for a loan. A {@link RateEffect.Decided} with the same ticket follows before the deadline
     * of the request.
     *
     * @param ticket identifies the waiting request
     */
    record Waiting(long ticket) implements RateDecision {}

    /** Reason why a request was refused. */
    enum Reason {
        /** No token became available in time, neither at this VM nor on loan from another VM. */
        OVER_RATE,
        /** At least one configuration that may be in force does not declare the client account. */
        UNKNOWN_ACCOUNT
    }
}
