package org.lycheetray.edge.exchange;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import java.time.Duration;
import java.util.Optional;
import org.lycheetray.daemon.request.Body;
import org.lycheetray.edge.MemoryBudget;

/**
 * The reply to a caller.
 *
 * @param status HTTP status code
 * @param headers headers, without hop-by-hop headers and Content-Length
 * @param body complete body
 * @param memory memory of the body of a backend server's answer
 */
public record Reply(int status, HttpHeaders headers, Body body, Optional<MemoryBudget.AnswerMemory> memory) {
    private static final double MILLIS_PER_SECOND = 1_000.0;

    /**
     * Creates a reply of the VM itself, whose body is too small to be counted.
     *
     * @param status HTTP status code
     * @param headers headers, without hop-by-hop headers and Content-Length
     * @param body complete body
     */
    public Reply(int status, HttpHeaders headers, Body body) {
        this(status, headers, body, Optional.empty());
    }

    /**
     * Creates a reply of the VM itself without a body.
     *
     * @param status HTTP status code
     * @param retryAfter time after which the caller may repeat the request, if it is stated
     * @return the reply
     */
    public static Reply withoutBody(int status, Optional<Duration> retryAfter) {
        HttpHeaders h = new DefaultHttpHeaders();
        retryAfter.ifPresent(d -> h.set(HttpHeaderNames.RETRY_AFTER, formatSeconds(d)));
        return new Reply(status, h, Body.EMPTY);
    }

    /** Formats a time in seconds with milliseconds, rounded up. */
    static String formatSeconds(Duration d) {
        return Double.toString(Math.ceil(d.toNanos() / 1e6) / MILLIS_PER_SECOND);
    }
}
