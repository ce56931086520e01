package org.lycheetray.daemon.request;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;

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

    /**
     * Computes the identity of a request's content, under which doubled and harmful requests are recognized.
     *
     * @param method HTTP method
     * @param uri path and query
     * @return SHA-256 over method, URI and body, hexadecimal
     */
    public String digest(String method, String uri) {
        try {
            MessageDigest sha = MessageDigest.getInstance("SHA-256");
            sha.update((method + ' ' + uri + '\n').getBytes(StandardCharsets.UTF_8));
            return HexFormat.of().formatHex(sha.digest(bytes));
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("this Java runtime has no SHA-256", e);
        }
    }
}
