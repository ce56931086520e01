package org.lycheetray.daemon.request.internal;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;

/** Computes the identity of a request's content. */
public final class ContentDigest {
    private ContentDigest() {}

    /**
     * Digests method, URI and body.
     *
     * @param method HTTP method
     * @param uri path and query
     * @param body bytes of the body
     * @return SHA-256, hexadecimal
     */
    public static String of(String method, String uri, byte[] body) {
        try {
            MessageDigest sha = MessageDigest.getInstance("SHA-256");
            sha.update((method + ' ' + uri + '\n').getBytes(StandardCharsets.UTF_8));
            return HexFormat.of().formatHex(sha.digest(body));
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("this Java runtime has no SHA-256", e);
        }
    }
}
