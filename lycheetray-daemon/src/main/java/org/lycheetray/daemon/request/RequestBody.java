package org.lycheetray.daemon.request;

import io.netty.buffer.ByteBuf;
import java.util.concurrent.atomic.AtomicBoolean;
import org.lycheetray.daemon.request.internal.ContentDigest;
import reactor.core.publisher.Flux;

/** Body of a request: buffered completely, or streamed while it is received. */
public sealed interface RequestBody {
    /**
     * Returns a digest of the request's content, by which duplicates and requests that crash servers are recognized.
     *
     * @param method HTTP method
     * @param uri path and query
     * @return hexadecimal SHA-256 digest
     */
    String digest(String method, String uri);

    /**
     * Returns whether the request can be sent, also after an earlier attempt.
     *
     * @return false if the body was streamed to a backend server already
     */
    boolean isReplayable();

    /**
     * A body that is buffered completely.
     *
     * @param body the body
     */
    record Buffered(Body body) implements RequestBody {
        @Override
        public String digest(String method, String uri) {
            return ContentDigest.of(method, uri, body.bytes());
        }

        @Override
        public boolean isReplayable() {
            return true;
        }
    }

    /**
     * A body too large to buffer. It can be sent only once, and its digest covers method, URI and declared length
     * instead of the content.
     */
    final class Streamed implements RequestBody {
        private final Flux<ByteBuf> content;
        private final long declaredLength;
        private final AtomicBoolean used = new AtomicBoolean();

        /**
         * Wraps a body that is still being received.
         *
         * @param content its bytes, limited to the maximum body size of the manifest
         * @param declaredLength value of Content-Length in bytes, -1 if none was sent
         */
        public Streamed(Flux<ByteBuf> content, long declaredLength) {
            this.content = content.doOnSubscribe(s -> used.set(true));
            this.declaredLength = declaredLength;
        }

        /**
         * Returns the bytes.
         *
         * @return the content; can be subscribed to only once
         */
        public Flux<ByteBuf> content() {
            return content;
        }

        /**
         * Returns the declared length.
         *
         * @return value of Content-Length in bytes, -1 if none was sent
         */
        public long declaredLength() {
            return declaredLength;
        }

        @Override
        public String digest(String method, String uri) {
            return ContentDigest.of(method, uri + "#" + declaredLength, Body.EMPTY.bytes());
        }

        @Override
        public boolean isReplayable() {
            return !used.get();
        }
    }
}
