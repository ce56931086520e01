package org.lycheetray.protocol;

/**
 * Reason for rejecting a frame or message.
 *
 * @param kind kind of error
 * @param detail details for the log, without message content
 */
public record ProtocolError(Kind kind, String detail) {
    /** Kind of error in a frame or message. */
    public enum Kind {
        /** The frame is shorter than its authentication code. */
        TRUNCATED,
        /** The sender does not know the fleet secret, or the frame was altered, repeated or reordered. */
        NOT_AUTHENTIC,
        /** The content is not a message of this protocol. */
        MALFORMED,
        /** The sender uses another version of the protocol. */
        OTHER_VERSION
    }
}
