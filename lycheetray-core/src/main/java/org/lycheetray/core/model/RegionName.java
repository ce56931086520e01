package org.lycheetray.core.model;

/**
 * Name of a region, unique in a manifest.
 *
 * @param value the name as written in the manifest
 */
public record RegionName(String value) implements Comparable<RegionName> {
    /** Validates the name. */
    public RegionName {
        NameUtil.requireName(value);
    }

    @Override
    public int compareTo(RegionName o) {
        return value.compareTo(o.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
