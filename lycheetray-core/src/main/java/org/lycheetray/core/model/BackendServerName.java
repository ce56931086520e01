package org.lycheetray.core.model;

/**
 * Name of a backend server, unique in a manifest across all services.
 *
 * @param value the name as written in the manifest
 */
public record BackendServerName(String value) implements Comparable<BackendServerName> {
    /** Validates the name. */
    public BackendServerName {
        NameUtil.requireName(value);
    }

    @Override
    public int compareTo(BackendServerName o) {
        return value.compareTo(o.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
