package org.lycheetray.core.model;

/**
 * Name of a service that backend servers offer, unique in a manifest.
 *
 * @param value the name as the manifest writes it
 */
public record ServiceName(String value) implements Comparable<ServiceName> {
    /** Checks the form of the name. */
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
