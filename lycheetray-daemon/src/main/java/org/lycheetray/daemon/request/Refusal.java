package org.lycheetray.daemon.request;

import java.time.Duration;
import java.util.Optional;
import org.lycheetray.core.once.FailurePoint;

/**
 * A refusal of a request by the system; its reason states whether the request may have run.
 *
 * @param reason point at which the request failed
 * @param detail explanation for the caller; must not contain secrets
 * @param retryAfter time after which a retry may succeed, or empty
 */
public record Refusal(FailurePoint reason, String detail, Optional<Duration> retryAfter) {
    /**
     * Creates a refusal without a retry time.
     *
     * @param reason point at which the request failed
     * @param detail explanation for the caller
     * @return the refusal
     */
    public static Refusal of(FailurePoint reason, String detail) {
        return new Refusal(reason, detail, Optional.empty());
    }

    /**
     * Creates a refusal with the time after which a retry may succeed.
     *
     * @param reason point at which the request failed
     * @param detail explanation for the caller
     * @param after time after which a retry may succeed
     * @return the refusal
     */
    public static Refusal withRetryAfter(FailurePoint reason, String detail, Duration after) {
        return new Refusal(reason, detail, Optional.of(after));
    }
}
