package org.lycheetray.core.once;

import java.util.Base64;
import java.util.List;

/**
 * A backend server's complete answer, stored so that a resent request receives the same answer.
 *
 * @param status HTTP status
 * @param headers headers that are returned to the caller
 * @param body the body or its location
 */
public record StoredAnswer(int status, List<HeaderField> headers, Body body) {
    /** Maximum size of a body that is stored in the claim's row; a larger one is stored as an object. */
    public static final int MAX_INLINE_BYTES = 4096;

    /** Copies the list. */
    public StoredAnswer {
        headers = List.copyOf(headers);
    }

    /** A stored body or its location. */
    public sealed interface Body {
        /**
         * A body stored in the claim's row.
         *
         * @param base64 the bytes in Base64
         */
        record Inline(String base64) implements Body {
            /**
             * Creates a body from bytes.
             *
             * @param bytes at most {@link #MAX_INLINE_BYTES}
             * @return the body
             */
            public static Inline of(byte[] bytes) {
                return new Inline(Base64.getEncoder().encodeToString(bytes));
            }

            /**
             * Returns the decoded bytes.
             *
             * @return a new array
             */
            public byte[] bytes() {
                return Base64.getDecoder().decode(base64);
            }
        }

        /**
         * A body stored in the object store.
         *
         * @param name name of the object
         * @param length size in bytes
         */
        record InObject(String name, long length) implements Body {}

        /** A body that was not stored: the request has run, but its answer cannot be returned again. */
        record NotKept() implements Body {}
    }
}
