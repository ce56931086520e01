package org.lycheetray.platform;

import java.util.List;
import java.util.Optional;
import org.lycheetray.core.table.Row;
import org.lycheetray.core.table.RowKey;

/**
 * One page of a table scan.
 *
 * @param rows rows in ascending key order
 * @param next key after which the next page starts, empty on the last page
 */
public record ScanPage(List<Row> rows, Optional<RowKey> next) {
    /** Creates a page with a copy of the list. */
    public ScanPage {
        rows = List.copyOf(rows);
    }
}
