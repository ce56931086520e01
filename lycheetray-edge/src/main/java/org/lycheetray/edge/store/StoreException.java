package org.lycheetray.edge.store;

import java.io.Serial;

/** A call to the store did not succeed. */
public final class StoreException extends RuntimeException {
    @Serial
    private static final long serialVersionUID = 1;

    /** What a failure means. */
    public enum Kind {
        /** The changes since the given version are no longer known; everything must be read anew. */
        HISTORY_LOST,
        /** The store refused the call without doing anything. */
        REFUSED,
        /** The answer was lost; a write may have been done. */
        UNKNOWN,
        /** A condition of a write was not met. */
        CONFLICT
    }

    private final Kind kind;

    /**
     * Creates an error.
     *
     * @param kind what it means
     * @param step what was being done
     * @param detail peer and what went wrong
     */
    public StoreException(Kind kind, String step, String detail) {
        super(step + ": " + detail, null, false, false);
        this.kind = kind;
    }

    /**
     * What the failure means.
     *
     * @return the kind
     */
    public Kind kind() {
        return kind;
    }
}
