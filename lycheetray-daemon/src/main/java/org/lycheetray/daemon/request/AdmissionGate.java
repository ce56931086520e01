package org.lycheetray.daemon.request;

import java.time.Duration;
import reactor.core.publisher.Mono;

/** Keeps client accounts within their rate and burst. */
@FunctionalInterface
public interface AdmissionGate {
    /** What was decided. */
    sealed interface Decision {
        /**
         * The client account's state after the decision.
         *
         * @return limits for the caller
         */
        RateLimits limits();

        /**
         * One token was taken.
         *
         * @param limits limits for the caller
         */
        record Admitted(RateLimits limits) implements Decision {}

        /**
         * No token could be had.
         *
         * @param limits limits for the caller
         * @param retryAfter time after which a lone request would be admitted
         */
        record OverRate(RateLimits limits, Duration retryAfter) implements Decision {}
    }

    /**
     * Takes a token for a request of a client account; may wait for one until the request's deadline.
     *
     * @param request a request with a client account
     * @return the decision
     */
    Mono<Decision> admit(RequestContext request);
}
