package org.lycheetray.core.once;

import java.util.Base64;
import java.util.List;

/**
 * A backend server's whole answer, kept so that a resent request gets it again.
 *
 * @param status HTTP status
 * @param headers headers that are repeated to the caller
 * @param body where the body is
 */
public record StoredAnswer(int status, List<HeaderField> headers, Body body) {
    /** Largest body kept in the claim's row; a larger one is kept as an object. */
    public static final int MAX_INLINE_BYTES = 4096;

    /** Copies the list. */
    public StoredAnswer {
        headers = List.copyOf(headers);
    }

    /** Where a stored body is. */
    public sealed interface Body {
        /**
         * Body kept beside the outcome.
         *
         * @param base64 the bytes in Base64
         */
        record Inline(String base64) implements Body {
            /**
             * Wraps bytes.
             *
             * @param bytes at most {@link #MAX_INLINE_BYTES}
             * @return the body
             */
            public static Inline of(byte[] bytes) {
                return new Inline(Base64.getEncoder().encodeToString(bytes));
            }

            /**
             * Gives the bytes.
             *
             * @return a fresh array
             */
            public byte[] bytes() {
                return Base64.getDecoder().decode(base64);
            }
        }

        /**
         * Body kept in the object store.
         *
         * @param name name of the object
         * @param length bytes
         */
        record InObject(String name, long length) implements Body {}

        /** Body that was not kept: the request has run, but its answer cannot be repeated. */
        record NotKept() implements Body {}
    }
}
