package org.lycheetray.core.once;

import java.util.List;
import org.lycheetray.core.model.RequestId;
import org.lycheetray.core.table.RowChange;

/** What {@link ClaimTable} wants done. */
public sealed interface ClaimEffect {
    /**
     * Write rows conditionally and report the result with the same number.
     *
     * @param number identifies the write within this process
     * @param changes parts that take effect together
     */
    record Write(long number, List<RowChange> changes) implements ClaimEffect {
        /** Copies the list. */
        public Write {
            changes = List.copyOf(changes);
        }
    }

    /**
     * Ask the VM that holds a claim what became of the attempt.
     *
     * @param number identifies the question within this process
     * @param attempt the attempt; its holder is asked
     */
    record AskHolder(long number, AttemptId attempt) implements ClaimEffect {}

    /**
     * Answer a question of another VM.
     *
     * @param question the asker's handle
     * @param result what became of the attempt
     */
    record AnswerHolder(PeerQuestion question, AttemptResult result) implements ClaimEffect {}

    /**
     * Tell a request what it may do.
     *
     * @param request the request
     * @param verdict the decision
     */
    record Decide(RequestId request, ClaimVerdict verdict) implements ClaimEffect {}
}
