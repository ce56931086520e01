package org.lycheetray.core.config;

import org.lycheetray.core.manifest.ManifestDigest;
import org.lycheetray.core.model.ConfigVersion;

/**
 * A version together with the digest of its manifest.
 *
 * @param version the version
 * @param digest digest of the canonical JSON
 */
public record ConfigRef(ConfigVersion version, ManifestDigest digest) {
    private static final int VERSION_DIGITS = 12;

    /**
     * Gives the name of the object that holds the manifest.
     *
     * @return {@code config/VERSION-DIGEST}
     */
    public String objectName() {
        return "config/" + this;
    }

    static String padded(ConfigVersion version) {
        String digits = version.toString();
        return "0".repeat(Math.max(0, VERSION_DIGITS - digits.length())) + digits;
    }

    @Override
    public String toString() {
        return version + "-" + digest;
    }
}
