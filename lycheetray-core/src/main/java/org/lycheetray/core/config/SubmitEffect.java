package org.lycheetray.core.config;

import java.util.List;
import org.lycheetray.core.table.RowChange;
import org.lycheetray.core.table.RowKey;

/** What a {@link Submitter} wants done; the answer is its next event. */
public sealed interface SubmitEffect {
    /** Read the row {@code config/head}. */
    record ReadHead() implements SubmitEffect {}

    /**
     * Store the manifest unless it is stored already.
     *
     * @param ref names the object
     */
    record PutObject(ConfigRef ref) implements SubmitEffect {}

    /**
     * Write conditionally.
     *
     * @param changes the write
     */
    record Write(List<RowChange> changes) implements SubmitEffect {
        /** Copies the list. */
        public Write {
            changes = List.copyOf(changes);
        }
    }

    /**
     * Read the row that names who won a version.
     *
     * @param key its key
     */
    record ReadVersion(RowKey key) implements SubmitEffect {}

    /**
     * The submission has ended.
     *
     * @param result how
     */
    record Finished(SubmitResult result) implements SubmitEffect {}
}
