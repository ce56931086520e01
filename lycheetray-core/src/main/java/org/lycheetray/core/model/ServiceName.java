package org.lycheetray.core.model;

/**
 * Name of a service, unique in a manifest.
 *
 * @param value the name as written in the manifest
 */
public record ServiceName(String value) implements Comparable<ServiceName> {
    /** Validates the name. */
    public ServiceName {
        NameUtil.requireName(value);
    }

    @Override
    public int compareTo(ServiceName o) {
        return value.compareTo(o.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
