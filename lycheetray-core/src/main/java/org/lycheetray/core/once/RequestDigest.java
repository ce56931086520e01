package org.lycheetray.core.once;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;
import java.util.regex.Pattern;

/**
 * Digest of a request's method, host, target and body; a resent request has the same digest.
 *
 * @param hex SHA-256 in lower-case hexadecimal
 */
public record RequestDigest(String hex) {
    private static final Pattern SHA_256 = Pattern.compile("[0-9a-f]{64}");

    /**
     * Computes the digest of a request.
     *
     * @param method HTTP method
     * @param host value of the Host header
     * @param target path and query
     * @param body complete body
     * @return the digest
     */
    public static RequestDigest of(String method, String host, String target, byte[] body) {
        MessageDigest digest = sha256();
        for (String part : new String[] {method, host, target}) {
            digest.update(part.getBytes(StandardCharsets.UTF_8));
            digest.update((byte) 0);
        }
        return new RequestDigest(HexFormat.of().formatHex(digest.digest(body)));
    }

    /**
     * Parses a digest that another VM has sent.
     *
     * @param hex SHA-256 in lower-case hexadecimal
     * @return the digest
     * @throws IllegalArgumentException if the text is no SHA-256 digest
     */
    public static RequestDigest parse(String hex) {
        if (!SHA_256.matcher(hex).matches()) {
            throw new IllegalArgumentException("not a SHA-256 digest: " + hex);
        }
        return new RequestDigest(hex);
    }

    static String hexOf(String text) {
        return HexFormat.of().formatHex(sha256().digest(text.getBytes(StandardCharsets.UTF_8)));
    }

    private static MessageDigest sha256() {
        try {
            return MessageDigest.getInstance("SHA-256");
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("every Java platform provides SHA-256", e);
        }
    }

    @Override
    public String toString() {
        return hex;
    }
}
