package org.lycheetray.daemon.request;

/** A request or answer body held whole in memory; its bytes are never changed. */
public final class Body {
    /** The body of a message without one. */
    public static final Body EMPTY = new Body(new byte[0]);

    private final byte[] bytes;

    /**
     * Wraps bytes without copying them.
     *
     * @param bytes the bytes, given away by the caller
     */
    public Body(byte[] bytes) {
        this.bytes = bytes;
    }

    /**
     * Gives the bytes without copying them.
     *
     * @return the bytes, not to be changed
     */
    public byte[] bytes() {
        return bytes;
    }
}
