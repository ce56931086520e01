package org.lycheetray.core.placement;

import java.time.Duration;

/** How an attempt at a backend server ended, as evidence of the server's state. */
public sealed interface AttemptEnd {
    /**
     * A usable answer came.
     *
     * @param took time from sending to the whole answer
     */
    record Answered(Duration took) implements AttemptEnd {}

    /**
     * The server ran the request and answered with an error of its own.
     *
     * @param took time from sending to the whole answer
     */
    record Failed(Duration took) implements AttemptEnd {}

    /** The server refused the request without running it, for want of room. */
    record Shed() implements AttemptEnd {}

    /** Another server answered at the address. */
    record Misdirected() implements AttemptEnd {}

    /** No connection could be made. */
    record Unreachable() implements AttemptEnd {}

    /** The connection broke, or what came was no whole answer. */
    record Broken() implements AttemptEnd {}

    /**
     * This VM gave up waiting.
     *
     * @param waited time since sending
     */
    record GivenUp(Duration waited) implements AttemptEnd {}
}
