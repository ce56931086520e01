package org.lycheetray.daemon.limit;

/** Thrown while a head is decoded if the memory of a line can't be reserved. */
public final class HeadMemoryException extends RuntimeException {
    private static final long serialVersionUID = 1;

    HeadMemoryException() {
        super("no memory for a header line");
    }
}
