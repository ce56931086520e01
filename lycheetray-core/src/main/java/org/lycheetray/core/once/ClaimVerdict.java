package org.lycheetray.core.once;

import org.lycheetray.core.time.MonotonicTime;

/** What a request on a {@code once} route may do after its key was looked at. */
public sealed interface ClaimVerdict {
    /**
     * The request holds the claim and may be dispatched once.
     *
     * @param attempt the attempt; its end must be reported
     * @param dispatchUntil time from which it must not be dispatched any more
     */
    record Run(AttemptId attempt, MonotonicTime dispatchUntil) implements ClaimVerdict {
        /**
         * Tells at the moment of use whether the request may still be dispatched, a pause of the process included.
         *
         * @param now present time, read after any suspension point
         * @return false if it must be reported as not run instead
         */
        public boolean mayDispatch(MonotonicTime now) {
            return now.isBefore(dispatchUntil);
        }
    }

    /**
     * An earlier sending has run; its answer is repeated.
     *
     * @param answer the answer
     */
    record Repeat(StoredAnswer answer) implements ClaimVerdict {}

    /**
     * The request is refused.
     *
     * @param point where it failed, which also says whether it ran
     */
    record Refuse(FailurePoint point) implements ClaimVerdict {}
}
