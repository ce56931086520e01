package org.lycheetray.core.model;

/**
 * Name of a data centre, unique in a manifest across all regions.
 *
 * @param value the name as written in the manifest
 */
public record DataCentreName(String value) implements Comparable<DataCentreName> {
    /** Validates the name. */
    public DataCentreName {
        NameUtil.requireName(value);
    }

    @Override
    public int compareTo(DataCentreName o) {
        return value.compareTo(o.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
