package org.lycheetray.daemon.http.internal;

import io.netty.handler.codec.http.HttpHeaderNames;
import java.io.ByteArrayOutputStream;
import java.io.Serial;
import java.util.concurrent.atomic.AtomicLong;
import org.lycheetray.daemon.request.Body;
import reactor.core.publisher.Mono;
import reactor.netty.http.server.HttpServerRequest;

/** Reads request bodies whole, within a limit for each and a limit for all together. */
final class BodyReader {
    /** The body is larger than allowed, or all bodies together are. */
    static final class TooLargeException extends RuntimeException {
        @Serial
        private static final long serialVersionUID = 1;

        private final boolean alone;

        TooLargeException(boolean alone) {
            super(alone ? "body too large" : "too many bytes held", null, false, false);
            this.alone = alone;
        }

        /** True if this body alone is too large, false if the VM holds too much for the moment. */
        boolean isAlone() {
            return alone;
        }
    }

    private static final long MAX_HELD_BYTES = 64L << 20;

    private final AtomicLong held = new AtomicLong();

    Mono<Body> read(HttpServerRequest req, long limit) {
        String length = req.requestHeaders().get(HttpHeaderNames.CONTENT_LENGTH);
        if (length != null && !isWithin(length, limit)) {
            return Mono.error(new TooLargeException(true));
        }
        AtomicLong mine = new AtomicLong();
        return req.receive()
                .asByteArray()
                .reduceWith(ByteArrayOutputStream::new, (out, part) -> append(out, part, limit, mine))
                .map(out -> out.size() == 0 ? Body.EMPTY : new Body(out.toByteArray()))
                .doFinally(signal -> held.addAndGet(-mine.get()));
    }

    private ByteArrayOutputStream append(ByteArrayOutputStream out, byte[] part, long limit, AtomicLong mine) {
        if (out.size() + (long) part.length > limit) {
            throw new TooLargeException(true);
        }
        mine.addAndGet(part.length);
        if (held.addAndGet(part.length) > MAX_HELD_BYTES) {
            throw new TooLargeException(false);
        }
        out.writeBytes(part);
        return out;
    }

    private static boolean isWithin(String length, long limit) {
        try {
            return Long.parseLong(length) <= limit;
        } catch (NumberFormatException e) {
            return false;
        }
    }
}
