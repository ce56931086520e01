package org.lycheetray.daemon.http.internal;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import java.io.ByteArrayOutputStream;
import java.io.Serial;
import java.util.concurrent.atomic.AtomicLong;
import org.lycheetray.core.model.RouteClass;
import org.lycheetray.daemon.request.Body;
import org.lycheetray.daemon.request.RequestBody;
import org.lycheetray.daemon.request.RequestContext;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;
import reactor.netty.http.server.HttpServerRequest;

/**
 * Reads request bodies, within a limit for each and a limit for all that are held.
 *
 * <p>Small bodies are held whole, which lets a request be tried again. Bodies of {@code once} requests are always held,
 * since their content must be known before the claim. Others are passed on as they arrive.
 */
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

    private static final long HELD_BODY_BYTES = 64 * 1024;
    private static final long MAX_HELD_BYTES = 64L << 20;
    private static final long UNKNOWN = -1;

    private final AtomicLong held = new AtomicLong();

    Mono<RequestBody> read(HttpServerRequest req, RequestContext request) {
        long limit = request.config().manifest().policy().maxBodyBytes();
        long length = declaredLength(req.requestHeaders());
        if (length > limit) {
            return Mono.error(new TooLargeException(true));
        }
        boolean once = request.route().routeClass() == RouteClass.ONCE;
        boolean small = length >= 0 && length <= HELD_BODY_BYTES;
        if (once || small) {
            return hold(req, limit).map(RequestBody.Held::new);
        }
        Flux<ByteBuf> content = req.receive().retain();
        return Mono.just(new RequestBody.Streamed(limited(content, limit), length));
    }

    private Mono<Body> hold(HttpServerRequest req, long limit) {
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

    private static Flux<ByteBuf> limited(Flux<ByteBuf> content, long limit) {
        AtomicLong seen = new AtomicLong();
        return content.map(part -> {
            if (seen.addAndGet(part.readableBytes()) > limit) {
                part.release();
                throw new TooLargeException(true);
            }
            return part;
        });
    }

    private static long declaredLength(HttpHeaders headers) {
        String length = headers.get(HttpHeaderNames.CONTENT_LENGTH);
        if (length == null) {
            return headers.contains(HttpHeaderNames.TRANSFER_ENCODING) ? UNKNOWN : 0;
        }
        try {
            return Long.parseLong(length);
        } catch (NumberFormatException e) {
            return UNKNOWN;
        }
    }
}
