package org.lycheetray.platform;

/** Result of a conditional put into the object store. */
public enum PutResult {
    /** The name holds the given content, stored by this call or an earlier one. */
    STORED,
    /** The name already holds different content; nothing was written. */
    TAKEN
}
