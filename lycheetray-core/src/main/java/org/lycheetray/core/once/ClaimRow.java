package org.lycheetray.core.once;

import java.time.Instant;
import java.util.Optional;

/**
 * Content of a claim's row.
 *
 * @param state what is recorded of the attempt
 * @param attempt the attempt that wrote the row
 * @param digest digest of its request
 * @param received wall-clock time at which its request arrived
 * @param answer present exactly in state {@link State#ANSWERED}
 */
public record ClaimRow(
        State state, AttemptId attempt, RequestDigest digest, Instant received, Optional<StoredAnswer> answer) {
    /** What is recorded of an attempt. */
    public enum State {
        /** It may have been dispatched; only its holder knows more. */
        CLAIMED,
        /** It ran and was answered. */
        ANSWERED,
        /** It has not run and will not; another attempt may replace the row. */
        RELEASED,
        /** It may have run, and nobody will ever know more. */
        UNKNOWN
    }

    static ClaimRow claimed(AttemptId attempt, ClaimRequest r) {
        return new ClaimRow(State.CLAIMED, attempt, r.digest(), r.received(), Optional.empty());
    }

    ClaimRow ended(AttemptResult result) {
        return switch (result) {
            case AttemptResult.Answered a ->
                new ClaimRow(State.ANSWERED, attempt, digest, received, Optional.of(a.answer()));
            case AttemptResult.NotRun n -> with(State.RELEASED);
            case AttemptResult.Unknown u -> with(State.UNKNOWN);
        };
    }

    private ClaimRow with(State s) {
        return new ClaimRow(s, attempt, digest, received, Optional.empty());
    }
}
