package org.lycheetray.protocol;

import java.nio.charset.StandardCharsets;
import java.security.GeneralSecurityException;
import javax.crypto.Mac;
import javax.crypto.spec.SecretKeySpec;

/** The secret shared by all entry VMs of a fleet. {@link #toString} does not reveal it. */
public final class FleetSecret {
    /** Minimum length of a secret, in characters. */
    public static final int MIN_LENGTH = 16;

    private static final String ALGORITHM = "HmacSHA256";

    private final byte[] bytes;

    private FleetSecret(byte[] bytes) {
        this.bytes = bytes;
    }

    /**
     * Creates a secret from its text.
     *
     * @param text text of the secret; surrounding white space is stripped
     * @return the secret
     * @throws IllegalArgumentException if it is shorter than {@value #MIN_LENGTH} characters
     */
    public static FleetSecret of(String text) {
        String trimmed = text.strip();
        if (trimmed.length() < MIN_LENGTH) {
            throw new IllegalArgumentException("a fleet secret must have at least " + MIN_LENGTH + " characters");
        }
        return new FleetSecret(trimmed.getBytes(StandardCharsets.UTF_8));
    }

    /**
     * Derives a key with HMAC-SHA256. Each part is prefixed by its length, so that different parts give different keys.
     *
     * @param parts values that identify the use of the key
     * @return a key of 32 bytes
     */
    byte[] derive(byte[]... parts) {
        Mac mac = macOf(bytes);
        for (byte[] part : parts) {
            mac.update((byte) (part.length >>> 8));
            mac.update((byte) part.length);
            mac.update(part);
        }
        return mac.doFinal();
    }

    static Mac macOf(byte[] key) {
        try {
            Mac mac = Mac.getInstance(ALGORITHM);
            mac.init(new SecretKeySpec(key, ALGORITHM));
            return mac;
        } catch (GeneralSecurityException e) {
            throw new IllegalStateException("this Java runtime does not support " + ALGORITHM, e);
        }
    }

    @Override
    public String toString() {
        return "FleetSecret(hidden)";
    }
}
