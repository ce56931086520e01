package org.lycheetray.daemon.request;

import reactor.core.publisher.Mono;

/** Ensures that a request of class {@code once} is started at most once across the fleet. */
@FunctionalInterface
public interface ClaimGate {
    /** Result of claiming a request. */
    sealed interface Decision {
        /**
         * This VM holds the claim and is the only one that may run the request.
         *
         * @param claim the claim; {@link Claim#recordResult} must be called on it once
         */
        record Run(Claim claim) implements Decision {}

        /**
         * The request was answered earlier; the stored answer is returned again.
         *
         * @param answer the stored answer
         */
        record Replay(Answer.Buffered answer) implements Decision {}

        /**
         * The request must not run.
         *
         * @param refusal the refusal for the caller
         */
        record Refused(Refusal refusal) implements Decision {}
    }

    /** The exclusive right to run one request. */
    interface Claim {
        /**
         * Returns whether the claim is still valid; must be called directly before the request is sent.
         *
         * @return false if the claim has expired and the request must not be sent
         */
        boolean canDispatch();

        /**
         * Records the result of the request and ends the claim.
         *
         * @param result result of the last attempt
         * @return completes when the response may be sent; the result may be recorded later, and counts as unknown if
         *     it cannot be recorded
         */
        Mono<Void> recordResult(AttemptResult result);
    }

    /**
     * Claims the exclusive right to run a request.
     *
     * @param request a request with an idempotency key
     * @param digest digest of its content; a key used again with another content is refused
     * @return the decision
     */
    Mono<Decision> claim(RequestContext request, String digest);
}
