package org.lycheetray.core.once;

import java.util.OptionalLong;
import org.lycheetray.core.table.Row;
import org.lycheetray.core.table.RowChange;
import org.lycheetray.core.table.RowKey;

/**
 * The lowest bucket in which claims may still be written. It never decreases.
 *
 * @param bucket bucket number in hours since the epoch; keys of lower buckets are refused
 * @param revision revision of the row, {@link RowChange#ABSENT} if there is none yet
 */
public record ClaimExpiryWatermark(long bucket, long revision) {
    /** The row that stores the watermark; every write of claims checks its revision. */
    public static final RowKey ROW = new RowKey("claim-floor");

    /** The watermark of a table from which no claim was ever deleted. */
    public static final ClaimExpiryWatermark NONE = new ClaimExpiryWatermark(0, RowChange.ABSENT);

    /**
     * Parses the watermark row.
     *
     * @param row the row as it was read
     * @return the watermark
     * @throws NumberFormatException if the content is not a number
     */
    public static ClaimExpiryWatermark of(Row row) {
        return new ClaimExpiryWatermark(Long.parseLong(row.value().trim()), row.revision());
    }

    /**
     * Returns whether a key is too old to be claimed.
     *
     * @param key the key
     * @return true if the claims of its bucket may have been deleted
     */
    public boolean isExpired(ClaimKey key) {
        OptionalLong b = key.bucket();
        return b.isPresent() && b.getAsLong() < bucket;
    }
}
