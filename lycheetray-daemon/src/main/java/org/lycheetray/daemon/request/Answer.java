package org.lycheetray.daemon.request;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpHeaders;
import reactor.core.publisher.Flux;

/** Response of a backend server to one attempt. */
public sealed interface Answer {
    /**
     * Returns the HTTP status.
     *
     * @return the status code
     */
    int status();

    /**
     * Returns the headers to forward to the caller.
     *
     * @return the headers, without hop-by-hop and reserved ones
     */
    HttpHeaders headers();

    /**
     * An answer whose body has been received completely.
     *
     * @param status HTTP status
     * @param headers headers to forward to the caller
     * @param body the complete body
     */
    record Buffered(int status, HttpHeaders headers, Body body) implements Answer {}

    /**
     * An answer too large to buffer, forwarded while it is received.
     *
     * <p>If the backend connection breaks, the caller's connection is closed too, so that the caller notices the
     * truncation.
     *
     * @param status HTTP status
     * @param headers headers to forward to the caller
     * @param content the body; must be consumed or cancelled, else its buffers and connection leak
     */
    record Streamed(int status, HttpHeaders headers, Flux<ByteBuf> content) implements Answer {}
}
