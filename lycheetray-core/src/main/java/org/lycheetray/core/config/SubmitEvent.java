package org.lycheetray.core.config;

import java.util.Optional;
import org.lycheetray.core.table.Row;
import org.lycheetray.core.table.WriteResult;

/** What a {@link Submitter} is told. */
public sealed interface SubmitEvent {
    /**
     * The row {@code config/head} was read.
     *
     * @param row empty if there is none
     */
    record HeadRead(Optional<Row> row) implements SubmitEvent {}

    /** The object store holds the manifest. */
    record ObjectStored() implements SubmitEvent {}

    /**
     * The conditional write ended.
     *
     * @param result what is known of it
     */
    record Written(WriteResult result) implements SubmitEvent {}

    /**
     * The row of the version that was to be written was read.
     *
     * @param row empty if there is none
     */
    record VersionRead(Optional<Row> row) implements SubmitEvent {}

    /**
     * The last effect failed without an answer; nothing was written by it.
     *
     * @param cause step, peer and problem
     */
    record Failed(String cause) implements SubmitEvent {}
}
