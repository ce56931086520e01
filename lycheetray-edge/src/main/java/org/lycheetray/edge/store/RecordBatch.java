package org.lycheetray.edge.store;

import java.util.List;

/**
 * Records that one call to the store returned.
 *
 * @param records the records
 * @param version version of the store up to which the records are complete
 * @param lastChangeVersion version of the latest change among the records, or 0 if there is none
 * @param era number of times that the store was restored from an older copy; versions of different eras are not
 *     comparable
 */
public record RecordBatch(List<StoreRecord> records, long version, long lastChangeVersion, long era) {
    /** Makes the batch immutable by copying the list. */
    public RecordBatch {
        records = List.copyOf(records);
    }
}
