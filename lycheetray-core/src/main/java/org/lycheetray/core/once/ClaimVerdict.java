package org.lycheetray.core.once;

import org.lycheetray.core.time.MonotonicTime;

/** The result of claiming the idempotency key of a request on a {@code once} route. */
public sealed interface ClaimVerdict {
    /**
     * The request holds the claim and may be dispatched once.
     *
     * @param attempt the attempt; its result must be reported to {@link ClaimTable#recordResult}
     * @param dispatchUntil time from which the request must no longer be dispatched
     */
    record Run(AttemptId attempt, MonotonicTime dispatchUntil) implements ClaimVerdict {
        /**
         * Returns whether the request may still be dispatched. Check it immediately before dispatch, since the process
         * may have been paused after the verdict.
         *
         * @param now present time, read after any point at which the process may have been suspended
         * @return false if the attempt must be reported as not run instead
         */
        public boolean canDispatch(MonotonicTime now) {
            return now.isBefore(dispatchUntil);
        }
    }

    /**
     * An earlier attempt with the same key has run; its stored answer is returned to the caller.
     *
     * @param answer the stored answer
     */
    record Replay(StoredAnswer answer) implements ClaimVerdict {}

    /**
     * The request is refused.
     *
     * @param point the failure, which also determines the outcome
     */
    record Refuse(FailurePoint point) implements ClaimVerdict {}
}
