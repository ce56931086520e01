package org.lycheetray.platform.wire;

import org.lycheetray.core.table.Row;
import org.lycheetray.core.table.RowKey;

/**
 * A row in JSON.
 *
 * @param key key of the row
 * @param revision revision of the row
 * @param value content
 */
public record WireRow(String key, long revision, String value) {
    /**
     * Converts from a row.
     *
     * @param r the row
     * @return its JSON form
     */
    public static WireRow of(Row r) {
        return new WireRow(r.key().value(), r.revision(), r.value());
    }

    /**
     * Converts to a row.
     *
     * @return the row
     */
    public Row toRow() {
        return new Row(new RowKey(key), revision, value);
    }
}
