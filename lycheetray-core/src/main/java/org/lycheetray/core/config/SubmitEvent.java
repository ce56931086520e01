package org.lycheetray.core.config;

import java.util.Optional;
import org.lycheetray.core.table.Row;
import org.lycheetray.core.table.WriteResult;

/** An input of a {@link Submitter}: the result of its last effect. */
public sealed interface SubmitEvent {
    /**
     * The row {@code config/head} was read.
     *
     * @param row the row, empty if there is none
     */
    record HeadRead(Optional<Row> row) implements SubmitEvent {}

    /** The manifest is in the object store. */
    record ObjectStored() implements SubmitEvent {}

    /**
     * The conditional write ended.
     *
     * @param result its result, which may be unknown
     */
    record Written(WriteResult result) implements SubmitEvent {}

    /**
     * The row of the version to be created was read.
     *
     * @param row the row, empty if there is none
     */
    record VersionRead(Optional<Row> row) implements SubmitEvent {}

    /**
     * The last effect failed without an answer and wrote nothing.
     *
     * @param cause the step, the peer and the error
     */
    record Failed(String cause) implements SubmitEvent {}
}
