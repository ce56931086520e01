package org.lycheetray.core.admission;

import java.time.Duration;

/** Whether a request may run as far as its client account's rate and burst are concerned. */
public sealed interface RateDecision {
    /**
     * The request may run; a token was taken for it.
     *
     * @param limits for the response's headers
     */
    record Admitted(Limits limits) implements RateDecision {}

    /**
     * The request may not run.
     *
     * @param reason why
     * @param retryAfter a caller that waits so long and is alone is admitted
     * @param limits for the response's headers
     */
    record Refused(Reason reason, Duration retryAfter, Limits limits) implements RateDecision {}

    /**
     * The request waits for a loan; a {@link RateEffect.Decided} with the ticket follows before its deadline.
     *
     * @param ticket names the waiting request
     */
    record Waiting(long ticket) implements RateDecision {}

    /** Why a request was refused. */
    enum Reason {
        /** No token was found in time, here or at another VM. */
        OVER_RATE,
        /** Not every configuration that may be in force declares the client account. */
        UNKNOWN_ACCOUNT
    }
}
