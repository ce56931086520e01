package org.lycheetray.core.once;

import java.util.List;
import org.lycheetray.core.table.RowChange;

/** An action that {@link ClaimSweeper} requests from its caller; one at a time. */
public sealed interface SweepEffect {
    /** Read {@link ClaimExpiryWatermark#ROW}. */
    record ReadWatermark() implements SweepEffect {}

    /**
     * Raise the expiry watermark.
     *
     * @param change conditional write
     */
    record RaiseWatermark(RowChange change) implements SweepEffect {}

    /**
     * Read the first rows of a prefix, in order of their keys.
     *
     * @param prefix start of the keys
     * @param limit maximum number of rows
     */
    record Scan(String prefix, int limit) implements SweepEffect {}

    /**
     * Delete claims of expired buckets.
     *
     * @param changes deletions
     */
    record Delete(List<RowChange> changes) implements SweepEffect {
        /** Copies the list. */
        public Delete {
            changes = List.copyOf(changes);
        }
    }
}
