package org.lycheetray.core.table;

import java.util.List;

/** What is known of a conditional write. */
public sealed interface WriteResult {
    /**
     * The write took effect.
     *
     * @param revision revision that the written rows have now
     */
    record Applied(long revision) implements WriteResult {}

    /**
     * A condition failed and nothing was written.
     *
     * @param present the rows whose condition failed, as they are; a missing row is left out
     */
    record Conflict(List<Row> present) implements WriteResult {
        /** Copies the list. */
        public Conflict {
            present = List.copyOf(present);
        }
    }

    /**
     * The answer was lost: the write may have taken effect, or may yet. Read back to settle.
     *
     * @param cause what went wrong, with step and peer
     */
    record Unknown(String cause) implements WriteResult {}
}
