package org.lycheetray.daemon.request;

import java.time.Duration;
import reactor.core.publisher.Mono;

/** Rate limiter that keeps each client account within its rate and burst. */
@FunctionalInterface
public interface AdmissionGate {
    /** Result of an admission check. */
    sealed interface Decision {
        /**
         * Returns the rate-limit state of the client account after the decision.
         *
         * @return values for the rate-limit headers of the response
         */
        RateLimits limits();

        /**
         * The request was admitted and one token was taken.
         *
         * @param limits values for the rate-limit headers of the response
         */
        record Admitted(RateLimits limits) implements Decision {}

        /**
         * The client account is over its rate: no token became available before the deadline.
         *
         * @param limits values for the rate-limit headers of the response
         * @param retryAfter time after which a request would be admitted if no other one came before it
         */
        record OverRate(RateLimits limits, Duration retryAfter) implements Decision {}
    }

    /**
     * Takes a token for a request of a client account, waiting for one at most until the request's deadline.
     *
     * @param request the request; must have a client account
     * @return the decision
     */
    Mono<Decision> admit(RequestContext request);
}
