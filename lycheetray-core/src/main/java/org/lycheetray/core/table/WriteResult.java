package org.lycheetray.core.table;

import java.util.List;

/** Result of a conditional write. */
public sealed interface WriteResult {
    /**
     * The write took effect.
     *
     * @param revision new revision of the written rows
     */
    record Applied(long revision) implements WriteResult {}

    /**
     * A condition failed and nothing was written.
     *
     * @param present current content of the rows whose condition failed, without rows that do not exist
     */
    record Conflict(List<Row> present) implements WriteResult {
        /** Copies the list. */
        public Conflict {
            present = List.copyOf(present);
        }
    }

    /**
     * The answer was lost: the write may have taken effect or may still do so. The caller must read the rows to find
     * out.
     *
     * @param cause description of the error, with step and peer
     */
    record Unknown(String cause) implements WriteResult {}
}
