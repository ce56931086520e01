package org.lycheetray.core.config;

import java.util.List;
import java.util.Optional;
import org.lycheetray.core.manifest.ManifestDigest;
import org.lycheetray.core.model.ConfigVersion;
import org.lycheetray.core.table.Row;
import org.lycheetray.core.table.RowChange;
import org.lycheetray.core.table.WriteResult;

/**
 * One submission, from the base check to a version of its own.
 *
 * <p>The head and a row for the version are written together, the latter never to be overwritten. So a lost answer can
 * always be settled: the version's row says who won it. The write is on exact revisions and can be repeated.
 */
public final class Submitter {
    private static final int MAX_SETTLES = 8;

    private final ConfigVersion base;
    private final ConfigRef ref;
    private final Submission submission;
    private Optional<Row> headRow = Optional.empty();
    private Optional<ConfigHead> head = Optional.empty();
    private boolean written;
    private int settles;
    private String doubt = "";

    /**
     * Prepares a submission.
     *
     * @param base version that the operator started from
     * @param digest digest of the manifest's canonical JSON
     * @param submission who submits
     */
    public Submitter(ConfigVersion base, ManifestDigest digest, Submission submission) {
        this.base = base;
        this.ref = new ConfigRef(base.next(), digest);
        this.submission = submission;
    }

    /**
     * Gives the first effect.
     *
     * @return the effect
     */
    public SubmitEffect start() {
        return new SubmitEffect.ReadHead();
    }

    /**
     * Takes the answer to the last effect in.
     *
     * @param event the answer
     * @return the next effect
     */
    public SubmitEffect handle(SubmitEvent event) {
        return switch (event) {
            case SubmitEvent.HeadRead e -> onHead(e.row());
            case SubmitEvent.ObjectStored _ -> write();
            case SubmitEvent.Written e -> onWritten(e.result());
            case SubmitEvent.VersionRead e -> onVersion(e.row());
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
            return written ? write() : putObject();
        }
        return written ? readVersion() : finish(new SubmitResult.Conflict(found));
    }

    private SubmitEffect write() {
        written = true;
        String value = ConfigRows.encode(
                head.map(h -> h.withPending(ref, submission)).orElse(new ConfigHead(ref, submission, ref)));
        return new SubmitEffect.Write(List.of(
                new RowChange.Put(ConfigRows.HEAD, headRow.map(Row::revision).orElse(RowChange.ABSENT), value),
                new RowChange.Put(ConfigRows.version(ref.version()), RowChange.ABSENT, value)));
    }

    private SubmitEffect onWritten(WriteResult result) {
        return switch (result) {
            case WriteResult.Applied _ -> finish(new SubmitResult.Submitted(ref));
            case WriteResult.Conflict _ -> readVersion();
            case WriteResult.Unknown u -> {
                doubt = u.cause();
                yield readVersion();
            }
        };
    }

    private SubmitEffect onVersion(Optional<Row> row) {
        if (row.isEmpty()) {
            settles++;
            return settles < MAX_SETTLES ? new SubmitEffect.ReadHead() : onFailure("the write was repeated in vain");
        }
        return ConfigRows.decodeHead(row.get()).fold(this::onFailure, winner -> {
            boolean own = winner.submission().id().equals(submission.id());
            return finish(own ? new SubmitResult.Submitted(ref) : new SubmitResult.Conflict(winner));
        });
    }

    private SubmitEffect onFailure(String cause) {
        if (doubt.isEmpty()) {
            return finish(new SubmitResult.Unreachable(cause));
        }
        return finish(new SubmitResult.InDoubt(doubt + "; then " + cause));
    }

    private SubmitEffect putObject() {
        return new SubmitEffect.PutObject(ref);
    }

    private SubmitEffect readVersion() {
        return new SubmitEffect.ReadVersion(ConfigRows.version(ref.version()));
    }

    private static SubmitEffect finish(SubmitResult result) {
        return new SubmitEffect.Finished(result);
    }
}
