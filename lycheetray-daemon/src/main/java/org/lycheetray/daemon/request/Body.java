package org.lycheetray.daemon.request;

/** A complete request or answer body in memory; its bytes are treated as immutable. */
public final class Body {
    /** The empty body. */
    public static final Body EMPTY = new Body(new byte[0]);

    private final byte[] bytes;

    /**
     * Creates a body that wraps the array without copying it.
     *
     * @param bytes the bytes; the caller must not modify them afterwards
     */
    public Body(byte[] bytes) {
        this.bytes = bytes;
    }

    /**
     * Returns the bytes without copying them.
     *
     * @return the bytes; must not be modified
     */
    public byte[] bytes() {
        return bytes;
    }
}
