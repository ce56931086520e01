package org.lycheetray.core.once;

import java.util.List;
import org.lycheetray.core.model.RequestId;
import org.lycheetray.core.table.RowChange;

/** An action that {@link ClaimTable} requests from its caller. */
public sealed interface ClaimEffect {
    /**
     * Write rows conditionally, then pass the result to {@link ClaimTable#handleWriteResult} with the same number.
     *
     * @param number identifies the write within this process
     * @param changes changes that take effect together or not at all
     */
    record Write(long number, List<RowChange> changes) implements ClaimEffect {
        /** Copies the list. */
        public Write {
            changes = List.copyOf(changes);
        }
    }

    /**
     * Ask the VM that holds a claim for the result of the attempt.
     *
     * @param number identifies the question within this process
     * @param attempt the attempt, which also names its holder
     */
    record AskHolder(long number, AttemptId attempt) implements ClaimEffect {}

    /**
     * Answer a question of another VM.
     *
     * @param question the question that is answered
     * @param result result of the attempt
     */
    record AnswerPeer(PeerQuestion question, AttemptResult result) implements ClaimEffect {}

    /**
     * Pass the verdict to a waiting request.
     *
     * @param request the request
     * @param verdict whether the request may be dispatched
     */
    record Decide(RequestId request, ClaimVerdict verdict) implements ClaimEffect {}
}
