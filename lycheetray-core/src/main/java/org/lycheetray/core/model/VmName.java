package org.lycheetray.core.model;

/**
 * Name of an entry VM, unique in a manifest.
 *
 * @param value the name as written in the manifest
 */
public record VmName(String value) implements Comparable<VmName> {
    /** Validates the name. */
    public VmName {
        NameUtil.requireName(value);
    }

    @Override
    public int compareTo(VmName o) {
        return value.compareTo(o.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
