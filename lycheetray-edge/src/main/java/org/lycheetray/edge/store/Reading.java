package org.lycheetray.edge.store;

import java.util.List;

/**
 * Records that were read together.
 *
 * @param records the records
 * @param version version of the store up to which they are complete
 * @param lastChange version of the latest change among them, 0 if there is none
 */
public record Reading(List<StoreRecord> records, long version, long lastChange) {
    /** Copies the list. */
    public Reading {
        records = List.copyOf(records);
    }
}
