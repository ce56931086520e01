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
        MISDIRECTED
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
     * @param connectionLost true if the connection ended before a whole answer, as it does when the server crashes
     */
    record Unknown(String cause, boolean connectionLost) implements AttemptResult {}
}
