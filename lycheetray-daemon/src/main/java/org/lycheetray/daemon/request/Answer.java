package org.lycheetray.daemon.request;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpHeaders;
import reactor.core.publisher.Flux;

/** A backend server's answer. */
public sealed interface Answer {
    /**
     * The HTTP status.
     *
     * @return the status
     */
    int status();

    /**
     * The headers that may be passed on.
     *
     * @return the headers
     */
    HttpHeaders headers();

    /**
     * An answer that has arrived to its end.
     *
     * @param status HTTP status
     * @param headers headers to pass on
     * @param body the whole body
     */
    record Whole(int status, HttpHeaders headers, Body body) implements Answer {}

    /**
     * An answer too large to hold, passed on as it arrives; if it breaks off, so does the caller's connection.
     *
     * @param status HTTP status
     * @param headers headers to pass on
     * @param content the body; must be consumed or cancelled
     */
    record Streamed(int status, HttpHeaders headers, Flux<ByteBuf> content) implements Answer {}
}
