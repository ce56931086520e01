package org.lycheetray.core.traffic;

/** Whether a request may be sent again when it is unknown if an earlier attempt was run. */
public enum RetrySafety {
    /** The request is idempotent and may be sent to another backend server. */
    REPEATABLE,
    /** The request may be sent again only if it is certain that no earlier attempt was or will be run. */
    AT_MOST_ONCE
}
