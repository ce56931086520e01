package org.lycheetray.edge.store;

import java.util.List;

/**
 * Records that were read together.
 *
 * @param records the records
 * @param version version of the store up to which they are complete
 */
public record Reading(List<StoreRecord> records, long version) {
    /** Copies the list. */
    public Reading {
        records = List.copyOf(records);
    }
}
