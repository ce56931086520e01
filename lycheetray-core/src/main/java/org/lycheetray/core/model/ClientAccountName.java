package org.lycheetray.core.model;

/**
 * Name of a client account, unique in a manifest.
 *
 * @param value the name as written in the manifest
 */
public record ClientAccountName(String value) implements Comparable<ClientAccountName> {
    /** Validates the name. */
    public ClientAccountName {
        NameUtil.requireName(value);
    }

    @Override
    public int compareTo(ClientAccountName o) {
        return value.compareTo(o.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
