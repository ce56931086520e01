package org.lycheetray.protocol;

/**
 * Why a frame or message was not accepted.
 *
 * @param kind what was wrong
 * @param detail more for the log, without content of the message
 */
public record ProtocolError(Kind kind, String detail) {
    /** What was wrong with a frame or message. */
    public enum Kind {
        /** The frame is shorter than its fixed parts or its content ends early. */
        TRUNCATED,
        /** The sender does not know the fleet secret, or the frame was altered, repeated or reordered. */
        NOT_AUTHENTIC,
        /** The content is not a message of this protocol. */
        MALFORMED,
        /** The sender speaks another version of the protocol. */
        OTHER_VERSION
    }
}
