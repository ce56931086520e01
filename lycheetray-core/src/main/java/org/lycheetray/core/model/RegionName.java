package org.lycheetray.core.model;

/**
 * Name of a region, unique in a manifest.
 *
 * @param value the name as the manifest writes it
 */
public record RegionName(String value) implements Comparable<RegionName> {
    /** Checks the form of the name. */
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
