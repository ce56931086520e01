package org.lycheetray.core.config;

import java.util.List;
import java.util.Optional;
import org.lycheetray.core.manifest.ManifestDigest;
import org.lycheetray.core.model.ConfigVersion;
import org.lycheetray.core.table.Row;
import org.lycheetray.core.table.RowChange;
import org.lycheetray.core.table.WriteResult;

/**
 * State machine of one submission, from the check of the base version to the creation of a new version.
 *
 * <p>The head row and a version row are written atomically, and a version row is never overwritten. After a lost
 * answer, the version row therefore shows which submission created the version. The write is conditional on exact row
 * revisions and is safe to repeat.
 */
public final class Submitter {
    private static final int MAX_RESOLVE_ATTEMPTS = 8;

    private final ConfigVersion base;
    private final ConfigRef ref;
    private final Submission submission;
    private Optional<Row> headRow = Optional.empty();
    private Optional<ConfigHead> head = Optional.empty();
    private boolean writeAttempted;
    private int resolveAttempts;
    private String unknownWriteCause = "";

    /**
     * Creates the state of a submission.
     *
     * @param base version on which the operator based the manifest
     * @param digest digest of the manifest's canonical JSON
     * @param submission identity of the submission
     */
    public Submitter(ConfigVersion base, ManifestDigest digest, Submission submission) {
        this.base = base;
        this.ref = new ConfigRef(base.next(), digest);
        this.submission = submission;
    }

    /**
     * Returns the first effect.
     *
     * @return the effect to carry out
     */
    public SubmitEffect start() {
        return new SubmitEffect.ReadHead();
    }

    /**
     * Applies the result of the last effect.
     *
     * @param event the result
     * @return the next effect
     */
    public SubmitEffect handle(SubmitEvent event) {
        return switch (event) {
            case SubmitEvent.HeadRead e -> onHead(e.row());
            case SubmitEvent.ObjectStored _ -> write();
            case SubmitEvent.Written e -> onWritten(e.result());
            case SubmitEvent.VersionRead e -> onVersionRow(e.row());
            case SubmitEvent.Failed e -> onFailure(e.cause());
        };
    }

    private SubmitEffect onHead(Optional<Row> row) {
        headRow = row;
        if (row.isEmpty()) {
            return base.equals(ConfigVersion.NONE) ? putObject() : finish(new SubmitResult.NoSuchBase());
        }
        return ConfigRows.decodeHead(row.get())
                .fold(problem -> finish(new SubmitResult.Unreachable(problem)), this::onHead);
    }

    private SubmitEffect onHead(ConfigHead found) {
        head = Optional.of(found);
        if (found.version().equals(base)) {
            return writeAttempted ? write() : putObject();
        }
        return writeAttempted ? readVersion() : finish(new SubmitResult.Conflict(found));
    }

    private SubmitEffect write() {
        writeAttempted = true;
        String value = ConfigRows.encode(
                head.map(h -> h.withPending(ref, submission)).orElse(new ConfigHead(ref, submission, ref)));
        return new SubmitEffect.Write(List.of(
                new RowChange.Put(
                        ConfigRows.HEAD_KEY, headRow.map(Row::revision).orElse(RowChange.ABSENT), value),
                new RowChange.Put(ConfigRows.versionKey(ref.version()), RowChange.ABSENT, value)));
    }

    private SubmitEffect onWritten(WriteResult result) {
        return switch (result) {
            case WriteResult.Applied _ -> finish(new SubmitResult.Submitted(ref));
            case WriteResult.Conflict _ -> readVersion();
            case WriteResult.Unknown u -> {
                unknownWriteCause = u.cause();
                yield readVersion();
            }
        };
    }

    private SubmitEffect onVersionRow(Optional<Row> row) {
        if (row.isEmpty()) {
            resolveAttempts++;
            return resolveAttempts < MAX_RESOLVE_ATTEMPTS
                    ? new SubmitEffect.ReadHead()
                    : onFailure("the version was not created after " + MAX_RESOLVE_ATTEMPTS + " attempts");
        }
        return ConfigRows.decodeHead(row.get()).fold(this::onFailure, winner -> {
            boolean isOwnSubmission = winner.submission().id().equals(submission.id());
            return finish(isOwnSubmission ? new SubmitResult.Submitted(ref) : new SubmitResult.Conflict(winner));
        });
    }

    private SubmitEffect onFailure(String cause) {
        if (unknownWriteCause.isEmpty()) {
            return finish(new SubmitResult.Unreachable(cause));
        }
        return finish(new SubmitResult.InDoubt(unknownWriteCause + "; then " + cause));
    }

    private SubmitEffect putObject() {
        return new SubmitEffect.PutObject(ref);
    }

    private SubmitEffect readVersion() {
        return new SubmitEffect.ReadVersion(ConfigRows.versionKey(ref.version()));
    }

    private static SubmitEffect finish(SubmitResult result) {
        return new SubmitEffect.Finished(result);
    }
}
