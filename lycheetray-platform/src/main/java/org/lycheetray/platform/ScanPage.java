package org.lycheetray.platform;

import java.util.List;
import java.util.Optional;
import org.lycheetray.core.table.Row;
import org.lycheetray.core.table.RowKey;

/**
 * Part of a scan.
 *
 * @param rows rows in key order
 * @param next key after which the next page starts, empty if this is the last page
 */
public record ScanPage(List<Row> rows, Optional<RowKey> next) {
    /** Copies the list. */
    public ScanPage {
        rows = List.copyOf(rows);
    }
}
