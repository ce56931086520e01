package org.lycheetray.core.membership;

import org.lycheetray.core.table.RowChange;
import org.lycheetray.core.table.RowKey;

/** Table operation that a {@link LeadLease} requests; at most one is pending at a time. */
public sealed interface LeadEffect {
    /**
     * Read the lease row.
     *
     * @param key key of the row
     */
    record ReadRow(RowKey key) implements LeadEffect {}

    /**
     * Write the lease row.
     *
     * @param change the conditional write
     */
    record WriteRow(RowChange.Put change) implements LeadEffect {}
}
