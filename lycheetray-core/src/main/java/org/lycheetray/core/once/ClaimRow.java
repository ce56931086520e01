package org.lycheetray.core.once;

import java.time.Instant;
import java.util.Optional;

/**
 * Content of a claim's row.
 *
 * @param state recorded state of the attempt
 * @param attempt the attempt that wrote the row
 * @param digest digest of the attempt's request
 * @param received wall-clock time at which the request arrived
 * @param answer the stored answer, present only in state {@link State#ANSWERED}
 */
public record ClaimRow(
        State state, AttemptId attempt, RequestDigest digest, Instant received, Optional<StoredAnswer> answer) {
    /** State of an attempt as recorded in the row. */
    public enum State {
        /** The attempt may have been dispatched; only its holder knows the result. */
        CLAIMED,
        /** The attempt ran and was answered. */
        ANSWERED,
        /** The attempt has not run and will not; another attempt may replace the row. */
        RELEASED,
        /** The attempt may have run; its result can no longer be determined. */
        UNKNOWN
    }

    static ClaimRow claimed(AttemptId attempt, ClaimRequest r) {
        return new ClaimRow(State.CLAIMED, attempt, r.digest(), r.received(), Optional.empty());
    }

    ClaimRow withResult(AttemptResult result) {
        return switch (result) {
            case AttemptResult.Answered a ->
                new ClaimRow(State.ANSWERED, attempt, digest, received, Optional.of(a.answer()));
            case AttemptResult.NotRun n -> withState(State.RELEASED);
            case AttemptResult.Unknown u -> withState(State.UNKNOWN);
        };
    }

    private ClaimRow withState(State s) {
        return new ClaimRow(s, attempt, digest, received, Optional.empty());
    }
}
