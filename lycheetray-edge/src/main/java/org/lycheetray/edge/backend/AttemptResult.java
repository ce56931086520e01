package org.lycheetray.edge.backend;

import io.netty.handler.codec.http.HttpHeaders;
import org.lycheetray.daemon.request.Body;

/** What is known after one attempt at a backend server. */
public sealed interface AttemptResult {
    /** Proofs that a request did not run. */
    enum Proof {
        /** No connection could be made, so nothing was sent. */
        UNREACHABLE,
        /** This VM has as many connections to the server as it may have. */
        NO_CONNECTION,
        /** The server said that it did not run it. */
        SHED,
        /** Another server lives at the address. */
        MISDIRECTED
    }

    /**
     * The server's own answer, whole.
     *
     * @param status its status
     * @param headers its headers
     * @param body its body
     */
    record Answer(int status, HttpHeaders headers, Body body) implements AttemptResult {}

    /**
     * The request did not run there and never will.
     *
     * @param proof why that is certain
     */
    record NotRun(Proof proof) implements AttemptResult {}

    /**
     * The request may have run.
     *
     * @param cause what went wrong
     */
    record Unknown(String cause) implements AttemptResult {}
}
