package org.lycheetray.core.table;

/**
 * Key of a row in the platform's table service.
 *
 * @param value slash-separated path, for example {@code config/head}
 */
public record RowKey(String value) implements Comparable<RowKey> {
    @Override
    public int compareTo(RowKey o) {
        return value.compareTo(o.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
