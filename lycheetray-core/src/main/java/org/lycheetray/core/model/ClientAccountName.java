package org.lycheetray.core.model;

/**
 * Name of a client account, unique in a manifest.
 *
 * @param value the name as the manifest writes it
 */
public record ClientAccountName(String value) implements Comparable<ClientAccountName> {
    /** Checks the form of the name. */
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
