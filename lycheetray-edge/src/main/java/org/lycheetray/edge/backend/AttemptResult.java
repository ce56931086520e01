package org.lycheetray.edge.backend;

import io.netty.handler.codec.http.HttpHeaders;
import org.lycheetray.daemon.request.Body;
import org.lycheetray.edge.MemoryBudget;

/** Result of one attempt to run a request on a backend server. */
public sealed interface AttemptResult {
    /** Reasons why a request is known not to have run. */
    enum NotRunReason {
        /** The connection could not be established, so nothing was sent. */
        UNREACHABLE,
        /** The local VM has reached its limit of connections to the server. */
        NO_CONNECTION,
        /** The server reported that it did not run the request. */
        SHED,
        /** A different server answered at the address. */
        MISDIRECTED,
        /** Neither the local VM nor another one could be found that reaches the server. */
        NO_PATH,
        /** The VM that was asked to send the request did not, for a reason of its own. */
        DECLINED;

        /**
         * Returns whether the attempt counts as one that may have reached the server.
         *
         * @return false if nothing was sent to it
         */
        public boolean countsAsArrived() {
            return switch (this) {
                case UNREACHABLE, NO_PATH, DECLINED -> false;
                case NO_CONNECTION, SHED, MISDIRECTED -> true;
            };
        }
    }

    /** What was lost when no answer arrived. */
    enum Loss {
        /** The answer was not valid or too large. */
        ANSWER,
        /** The connection to the server ended before a whole answer, as it does when the server crashes. */
        CONNECTION,
        /** The path to the server, which says nothing about the server. */
        PATH
    }

    /**
     * The server's complete answer.
     *
     * @param status HTTP status code
     * @param headers headers
     * @param body body
     * @param memory memory of the body, to be closed when it is no longer held
     */
    record Answer(int status, HttpHeaders headers, Body body, MemoryBudget.AnswerMemory memory)
            implements AttemptResult {}

    /**
     * The request did not run on the server and never will.
     *
     * @param reason why the request is known not to have run
     */
    record NotRun(NotRunReason reason) implements AttemptResult {}

    /**
     * The request may have run.
     *
     * @param cause description of the failure, for the log
     * @param loss what was lost
     */
    record Unknown(String cause, Loss loss) implements AttemptResult {}
}
