package org.lycheetray.platform;

/** What an object's name holds after a put. */
public enum PutResult {
    /** The content given, stored by this call or by an earlier one. */
    STORED,
    /** Other content; nothing was changed. */
    TAKEN
}
