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
 * Reads request bodies, subject to a size limit per body and a limit on the total size of all buffered bodies.
 *
 * <p>Small bodies are buffered in full so that the request can be retried. Bodies of {@code once} requests are always
 * buffered, because the claim stores a digest of the request that covers the body. All other bodies are streamed to the
 * backend server.
 */
final class BodyReader {
    /** Thrown when a body exceeds its size limit, or all buffered bodies exceed the total limit. */
    static final class TooLargeException extends RuntimeException {
        @Serial
        private static final long serialVersionUID = 1;

        private final boolean bodyLimitExceeded;

        TooLargeException(boolean bodyLimitExceeded) {
            super(bodyLimitExceeded ? "body too large" : "too many bytes held", null, false, false);
            this.bodyLimitExceeded = bodyLimitExceeded;
        }

        /** Returns whether the limit per body is exceeded, rather than the total limit on buffered bodies. */
        boolean isBodyLimitExceeded() {
            return bodyLimitExceeded;
        }
    }

    private static final long MAX_RETRYABLE_BODY_BYTES = 64 * 1024;
    private static final long MAX_TOTAL_BUFFERED_BYTES =
            Math.min(64L << 20, Runtime.getRuntime().maxMemory() / 4);
    private static final long UNKNOWN_LENGTH = -1;

    private final AtomicLong totalBufferedBytes = new AtomicLong();

    Mono<RequestBody> read(HttpServerRequest req, RequestContext request) {
        long limit = request.config().manifest().policy().maxBodyBytes();
        long length = declaredLength(req.requestHeaders());
        if (length > limit) {
            return Mono.error(new TooLargeException(true));
        }
        boolean once = request.route().routeClass() == RouteClass.ONCE;
        boolean small = length >= 0 && length <= MAX_RETRYABLE_BODY_BYTES;
        if (once || small) {
            return buffer(req, limit).map(RequestBody.Buffered::new);
        }
        Flux<ByteBuf> content = req.receive().retain();
        return Mono.just(new RequestBody.Streamed(enforceLimit(content, limit), length));
    }

    private Mono<Body> buffer(HttpServerRequest req, long limit) {
        AtomicLong bodyBytes = new AtomicLong();
        return req.receive()
                .asByteArray()
                .reduceWith(ByteArrayOutputStream::new, (out, part) -> append(out, part, limit, bodyBytes))
                .map(out -> out.size() == 0 ? Body.EMPTY : new Body(out.toByteArray()))
                .doFinally(signal -> totalBufferedBytes.addAndGet(-bodyBytes.get()));
    }

    private ByteArrayOutputStream append(ByteArrayOutputStream out, byte[] part, long limit, AtomicLong bodyBytes) {
        if (out.size() + (long) part.length > limit) {
            throw new TooLargeException(true);
        }
        bodyBytes.addAndGet(part.length);
        if (totalBufferedBytes.addAndGet(part.length) > MAX_TOTAL_BUFFERED_BYTES) {
            throw new TooLargeException(false);
        }
        out.writeBytes(part);
        return out;
    }

    private static Flux<ByteBuf> enforceLimit(Flux<ByteBuf> content, long limit) {
        AtomicLong receivedBytes = new AtomicLong();
        return content.map(part -> {
            if (receivedBytes.addAndGet(part.readableBytes()) > limit) {
                part.release();
                throw new TooLargeException(true);
            }
            return part;
        });
    }

    private static long declaredLength(HttpHeaders headers) {
        String length = headers.get(HttpHeaderNames.CONTENT_LENGTH);
        if (length == null) {
            return headers.contains(HttpHeaderNames.TRANSFER_ENCODING) ? UNKNOWN_LENGTH : 0;
        }
        try {
            return Long.parseLong(length);
        } catch (NumberFormatException e) {
            return UNKNOWN_LENGTH;
        }
    }
}
