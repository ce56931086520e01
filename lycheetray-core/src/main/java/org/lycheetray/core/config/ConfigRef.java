package org.lycheetray.core.config;

import org.lycheetray.core.manifest.ManifestDigest;
import org.lycheetray.core.model.ConfigVersion;

/**
 * Reference to a configuration version: its number and the digest of its manifest.
 *
 * @param version the version number
 * @param digest digest of the manifest's canonical JSON
 */
public record ConfigRef(ConfigVersion version, ManifestDigest digest) {
    private static final int VERSION_DIGITS = 12;

    /**
     * Returns the name of the object that holds the manifest in the object store.
     *
     * @return the name {@code config/VERSION-DIGEST}
     */
    public String objectName() {
        return "config/" + this;
    }

    static String zeroPadded(ConfigVersion version) {
        String digits = version.toString();
        return "0".repeat(Math.max(0, VERSION_DIGITS - digits.length())) + digits;
    }

    @Override
    public String toString() {
        return version + "-" + digest;
    }
}
