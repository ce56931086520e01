package org.lycheetray.core.membership;

import org.lycheetray.core.table.RowChange;
import org.lycheetray.core.table.RowKey;

/** What the lead lease asks of the platform's table; one at a time. */
public sealed interface LeadEffect {
    /**
     * Read the lease row.
     *
     * @param key its key
     */
    record ReadRow(RowKey key) implements LeadEffect {}

    /**
     * Write the lease row.
     *
     * @param change the conditional write
     */
    record WriteRow(RowChange.Put change) implements LeadEffect {}
}
