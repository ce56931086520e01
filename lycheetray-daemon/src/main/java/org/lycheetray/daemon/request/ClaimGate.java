package org.lycheetray.daemon.request;

import reactor.core.publisher.Mono;

/** Makes sure that a request of class {@code once} is started at most once. */
@FunctionalInterface
public interface ClaimGate {
    /** What was decided. */
    sealed interface Decision {
        /**
         * This VM alone may run the request.
         *
         * @param claim to be ended once
         */
        record Run(Claim claim) implements Decision {}

        /**
         * The request has been answered before.
         *
         * @param answer the answer that was given
         */
        record Replay(Answer.Whole answer) implements Decision {}

        /**
         * The request must not run now.
         *
         * @param refusal what the caller is told
         */
        record Refused(Refusal refusal) implements Decision {}
    }

    /** The exclusive right to run one request. */
    interface Claim {
        /**
         * Checks the claim at the moment of use, directly before the request is sent.
         *
         * @return false if it must not be sent any more
         */
        boolean mayDispatch();

        /**
         * Records how the request ended.
         *
         * @param result the last attempt's result
         * @return completes when recorded, or when recording was given up and the claim says unknown
         */
        Mono<Void> end(AttemptResult result);
    }

    /**
     * Claims a request.
     *
     * @param request a request with an idempotency key
     * @param digest identity of its content
     * @return the decision
     */
    Mono<Decision> claim(RequestContext request, String digest);
}
