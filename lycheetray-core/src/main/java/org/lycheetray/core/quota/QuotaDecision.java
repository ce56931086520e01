package org.lycheetray.core.quota;

import java.time.Duration;

/** Decision on whether a request is within the rate of its client account. */
public sealed interface QuotaDecision {
    /** The request was admitted and counted. */
    record Admitted() implements QuotaDecision {}

    /**
     * The rate and burst of the account are exhausted.
     *
     * @param retryAfter time after which a request would be admitted if no others arrive
     */
    record OverRate(Duration retryAfter) implements QuotaDecision {}
}
