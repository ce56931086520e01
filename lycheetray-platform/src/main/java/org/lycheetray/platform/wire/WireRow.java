package org.lycheetray.platform.wire;

import org.lycheetray.core.table.Row;
import org.lycheetray.core.table.RowKey;

/**
 * JSON form of a table row.
 *
 * @param key key of the row
 * @param revision revision of the row
 * @param value content of the row
 */
public record WireRow(String key, long revision, String value) {
    /**
     * Returns the JSON form of a row.
     *
     * @param r the row
     * @return the JSON form
     */
    public static WireRow of(Row r) {
        return new WireRow(r.key().value(), r.revision(), r.value());
    }

    /**
     * Returns the row described by this object.
     *
     * @return the row
     */
    public Row toRow() {
        return new Row(new RowKey(key), revision, value);
    }
}
