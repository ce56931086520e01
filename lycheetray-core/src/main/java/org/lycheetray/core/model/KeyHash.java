package org.lycheetray.core.model;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;
import java.util.regex.Pattern;

/**
 * SHA-256 hash of a client account's key; the key itself is never stored.
 *
 * @param hex 64 lower-case hexadecimal digits
 */
public record KeyHash(String hex) {
    private static final Pattern HEX_DIGEST = Pattern.compile("[0-9a-f]{64}");

    /** Checks the length and the digits. */
    public KeyHash {
        if (!HEX_DIGEST.matcher(hex).matches()) {
            throw new IllegalArgumentException("a key hash has 64 lower-case hexadecimal digits");
        }
    }

    /**
     * Computes the hash of a key.
     *
     * @param key the key as a caller sends it
     * @return the hash of its UTF-8 bytes
     */
    public static KeyHash of(String key) {
        try {
            byte[] digest = MessageDigest.getInstance("SHA-256").digest(key.getBytes(StandardCharsets.UTF_8));
            return new KeyHash(HexFormat.of().formatHex(digest));
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("the Java runtime does not support SHA-256", e);
        }
    }
}
