package org.lycheetray.core.placement;

import java.time.Duration;

/** The outcome of one attempt at a backend server, used to judge the state of the server. */
public sealed interface AttemptOutcome {
    /**
     * The server sent a complete response with a status below 500.
     *
     * @param took time from sending the request to receiving the complete response
     */
    record Answered(Duration took) implements AttemptOutcome {}

    /**
     * The server ran the request and responded with a status of 500 or above.
     *
     * @param took time from sending the request to receiving the complete response
     */
    record ServerError(Duration took) implements AttemptOutcome {}

    /** The request was not run because the server or its connection pool had no capacity. */
    record Shed() implements AttemptOutcome {}

    /** A different server instance responded at the address; the request was not run. */
    record Misdirected() implements AttemptOutcome {}

    /** No connection to the server could be established. */
    record Unreachable() implements AttemptOutcome {}

    /** The path to the server failed, which says nothing about the server. */
    record PathLost() implements AttemptOutcome {}

    /** The connection was lost before a complete response arrived; the request may have run. */
    record ConnectionLost() implements AttemptOutcome {}

    /**
     * This VM cancelled the attempt before a response arrived.
     *
     * @param waited time between sending the request and cancelling it
     */
    record Cancelled(Duration waited) implements AttemptOutcome {}
}
