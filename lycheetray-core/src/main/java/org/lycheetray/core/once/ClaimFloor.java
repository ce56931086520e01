package org.lycheetray.core.once;

import java.util.OptionalLong;
import org.lycheetray.core.table.Row;
import org.lycheetray.core.table.RowChange;
import org.lycheetray.core.table.RowKey;

/**
 * The lowest bucket in which claims may still be written; it only grows.
 *
 * @param bucket hours since the epoch; keys of lower buckets are refused
 * @param revision revision of the row, {@link RowChange#ABSENT} if there is none yet
 */
public record ClaimFloor(long bucket, long revision) {
    /** The row that every write of claims checks. */
    public static final RowKey ROW = new RowKey("claim-floor");

    /** State of a table in which nothing was ever deleted. */
    public static final ClaimFloor NONE = new ClaimFloor(0, RowChange.ABSENT);

    /**
     * Reads the row.
     *
     * @param row the row as it was read
     * @return the floor
     * @throws NumberFormatException if the content is not a number
     */
    public static ClaimFloor of(Row row) {
        return new ClaimFloor(Long.parseLong(row.value().trim()), row.revision());
    }

    /**
     * Tells whether a key is too old to be used.
     *
     * @param key the key
     * @return true if its bucket's claims may have been deleted
     */
    public boolean isExpired(ClaimKey key) {
        OptionalLong b = key.bucket();
        return b.isPresent() && b.getAsLong() < bucket;
    }
}
