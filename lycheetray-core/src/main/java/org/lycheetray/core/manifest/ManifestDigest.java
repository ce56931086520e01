package org.lycheetray.core.manifest;

import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;

/**
 * SHA-256 digest of a manifest's canonical JSON.
 *
 * @param hex 64 lower-case hexadecimal digits
 */
public record ManifestDigest(String hex) {
    private static final int HEX_LENGTH = 64;

    /** Checks the length and the digits. */
    public ManifestDigest {
        if (hex.length() != HEX_LENGTH || !hex.chars().allMatch(c -> Character.digit(c, 16) >= 0)) {
            throw new IllegalArgumentException("expected a manifest digest of 64 hexadecimal digits but was " + hex);
        }
    }

    /**
     * Computes the digest of a manifest.
     *
     * @param canonicalJson the result of {@link ManifestWriter#write}
     * @return the digest
     */
    public static ManifestDigest of(byte[] canonicalJson) {
        try {
            byte[] digest = MessageDigest.getInstance("SHA-256").digest(canonicalJson);
            return new ManifestDigest(HexFormat.of().formatHex(digest));
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("the Java runtime does not support SHA-256", e);
        }
    }

    @Override
    public String toString() {
        return hex;
    }
}
