package org.lycheetray.daemon.request;

import io.netty.buffer.ByteBuf;
import java.util.concurrent.atomic.AtomicBoolean;
import org.lycheetray.daemon.request.internal.ContentDigest;
import reactor.core.publisher.Flux;

/** A request's body: held whole, or passed on as it arrives. */
public sealed interface RequestBody {
    /**
     * Identifies the request's content, so that doubled and harmful requests are recognized.
     *
     * @param method HTTP method
     * @param uri path and query
     * @return SHA-256, hexadecimal
     */
    String digest(String method, String uri);

    /**
     * Tells whether the request can be sent (again).
     *
     * @return false if the body has been used up
     */
    boolean isReplayable();

    /**
     * A body held whole.
     *
     * @param body the bytes
     */
    record Held(Body body) implements RequestBody {
        @Override
        public String digest(String method, String uri) {
            return ContentDigest.of(method, uri, body.bytes());
        }

        @Override
        public boolean isReplayable() {
            return true;
        }
    }

    /** A body too large to hold; it can be sent once and is identified by method, URI and declared length. */
    final class Streamed implements RequestBody {
        private final Flux<ByteBuf> content;
        private final long declaredLength;
        private final AtomicBoolean used = new AtomicBoolean();

        /**
         * Wraps a body that is still arriving.
         *
         * @param content its bytes, at most the limit of the manifest
         * @param declaredLength value of Content-Length, -1 if none was sent
         */
        public Streamed(Flux<ByteBuf> content, long declaredLength) {
            this.content = content.doOnSubscribe(s -> used.set(true));
            this.declaredLength = declaredLength;
        }

        /**
         * The bytes.
         *
         * @return the content, to be subscribed to once
         */
        public Flux<ByteBuf> content() {
            return content;
        }

        /**
         * The declared length.
         *
         * @return bytes, -1 if none was declared
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
