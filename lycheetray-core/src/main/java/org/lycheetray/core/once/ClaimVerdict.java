package org.lycheetray.core.once;

/** What a request on a {@code once} route may do after its key was looked at. */
public sealed interface ClaimVerdict {
    /**
     * The request holds the claim and may be dispatched once.
     *
     * @param attempt the attempt; its end must be reported
     */
    record Run(AttemptId attempt) implements ClaimVerdict {}

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
