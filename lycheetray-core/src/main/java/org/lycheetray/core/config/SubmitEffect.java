package org.lycheetray.core.config;

import java.util.List;
import org.lycheetray.core.table.RowChange;
import org.lycheetray.core.table.RowKey;

/** An action that the caller of a {@link Submitter} must carry out; its result is the next event. */
public sealed interface SubmitEffect {
    /** Reads the row {@code config/head}. */
    record ReadHead() implements SubmitEffect {}

    /**
     * Stores the manifest in the object store unless it is stored already.
     *
     * @param ref version from which the object's name is derived
     */
    record PutObject(ConfigRef ref) implements SubmitEffect {}

    /**
     * Writes rows atomically and conditionally.
     *
     * @param changes the row changes
     */
    record Write(List<RowChange> changes) implements SubmitEffect {
        /** Copies the list. */
        public Write {
            changes = List.copyOf(changes);
        }
    }

    /**
     * Reads the row that records which submission created a version.
     *
     * @param key key of the version row
     */
    record ReadVersion(RowKey key) implements SubmitEffect {}

    /**
     * The submission has ended.
     *
     * @param result the result of the submission
     */
    record Finished(SubmitResult result) implements SubmitEffect {}
}
