package org.lycheetray.daemon.request;

import java.time.Duration;
import java.util.Optional;
import org.lycheetray.core.once.FailurePoint;

/**
 * A truthful refusal.
 *
 * @param reason why
 * @param detail sentence for the caller, without secrets
 * @param retryAfter time after which a retry makes sense, or empty
 */
public record Refusal(FailurePoint reason, String detail, Optional<Duration> retryAfter) {
    /**
     * Creates a refusal after which an immediate retry makes no sense.
     *
     * @param reason why
     * @param detail sentence for the caller
     * @return the refusal
     */
    public static Refusal of(FailurePoint reason, String detail) {
        return new Refusal(reason, detail, Optional.empty());
    }

    /**
     * Creates a refusal that names a time for the retry.
     *
     * @param reason why
     * @param detail sentence for the caller
     * @param after time after which a retry makes sense
     * @return the refusal
     */
    public static Refusal retry(FailurePoint reason, String detail, Duration after) {
        return new Refusal(reason, detail, Optional.of(after));
    }
}
