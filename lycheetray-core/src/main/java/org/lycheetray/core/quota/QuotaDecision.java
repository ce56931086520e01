package org.lycheetray.core.quota;

import java.time.Duration;

/** Whether a request is within its client account's rate. */
public sealed interface QuotaDecision {
    /** The request was counted. */
    record Admitted() implements QuotaDecision {}

    /**
     * The account's rate and burst are used up.
     *
     * @param retryAfter time after which a lone request would be admitted
     */
    record OverRate(Duration retryAfter) implements QuotaDecision {}
}
