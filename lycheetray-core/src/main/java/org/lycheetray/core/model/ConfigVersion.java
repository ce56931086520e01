package org.lycheetray.core.model;

/**
 * Version number of the configuration; never decreases.
 *
 * @param number the number, 0 before the first manifest
 */
public record ConfigVersion(long number) implements Comparable<ConfigVersion> {
    /** The version before any manifest was accepted. */
    public static final ConfigVersion NONE = new ConfigVersion(0);

    /**
     * Returns the version that follows this one.
     *
     * @return the next version
     */
    public ConfigVersion next() {
        return new ConfigVersion(number + 1);
    }

    @Override
    public int compareTo(ConfigVersion o) {
        return Long.compare(number, o.number);
    }

    @Override
    public String toString() {
        return Long.toString(number);
    }
}
