package org.lycheetray.daemon.request.internal;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;

/** Computes digests of request contents. */
public final class ContentDigest {
    private ContentDigest() {}

    /**
     * Returns the digest of method, URI and body.
     *
     * @param method HTTP method
     * @param uri path and query
     * @param body bytes of the body
     * @return hexadecimal SHA-256 digest
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
