package org.lycheetray.core.once;

import java.util.ArrayList;
import java.util.List;
import org.lycheetray.core.table.Row;
import org.lycheetray.core.table.RowChange;
import org.lycheetray.core.table.RowKey;
import org.lycheetray.core.time.MonotonicTime;

/** What this process knows of one claim until the table knows it as well. */
final class ClaimEntry {
    /** Step of a claim's life in this process. */
    enum Phase {
        /** The claim is being written; nothing was dispatched. */
        CLAIMING,
        /** Another VM holds the claim and is being asked. */
        ASKING,
        /** This process holds the claim; the request may be running. */
        HELD,
        /** The attempt ran or may have run; its end is being written. */
        RECORDING,
        /** The attempt has not run and will not; the release is being written. */
        RELEASING
    }

    final ClaimKey key;
    final RowKey row;
    final List<ClaimRequest> waiting = new ArrayList<>();
    final List<PeerQuestion> questions = new ArrayList<>();

    AttemptId attempt;
    ClaimRow content;
    Phase phase;
    AttemptResult result;
    long expectedRevision = RowChange.ABSENT;

    /** Content of the last write that left for the present attempt, null if none has. */
    ClaimRow submitted;

    MonotonicTime queuedAt;
    MonotonicTime notBefore;
    boolean alone;

    ClaimEntry(ClaimRequest first) {
        key = first.key();
        row = key.row();
    }

    void startAttempt(AttemptId id, ClaimRequest first) {
        attempt = id;
        content = ClaimRow.claimed(id, first);
        phase = Phase.CLAIMING;
        result = null;
        submitted = null;
    }

    void end(AttemptResult r) {
        result = r;
        content = content.ended(r);
        phase = r instanceof AttemptResult.NotRun ? Phase.RELEASING : Phase.RECORDING;
    }

    RowChange change() {
        return new RowChange.Put(row, expectedRevision, ClaimRowCodec.encode(content));
    }

    /** Tells whether the last write that left carried the present content. */
    boolean isUpToDate() {
        return content.equals(submitted);
    }

    boolean isWrittenIn(Row present) {
        return present.value().equals(ClaimRowCodec.encode(content));
    }
}
