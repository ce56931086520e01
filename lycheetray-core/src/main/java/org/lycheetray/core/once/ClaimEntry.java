package org.lycheetray.core.once;

import java.util.ArrayList;
import java.util.List;
import org.lycheetray.core.table.Row;
import org.lycheetray.core.table.RowChange;
import org.lycheetray.core.table.RowKey;
import org.lycheetray.core.time.MonotonicTime;

/** In-memory state of one claim, kept until its result is recorded in the claim's row. */
final class ClaimEntry {
    /** State of a claim in this process. */
    enum Phase {
        /** The claim is being written; the request has not been dispatched. */
        CLAIMING,
        /** Another VM holds the claim and is being asked for the result. */
        ASKING,
        /** This process holds the claim; the request may be running. */
        HELD,
        /** The attempt ran or may have run; its result is being written. */
        RECORDING,
        /** The attempt has not run and will not; the release is being written. */
        RELEASING
    }

    final ClaimKey key;
    final RowKey row;
    final List<ClaimRequest> waitingRequests = new ArrayList<>();
    final List<PeerQuestion> questions = new ArrayList<>();

    AttemptId attempt;
    ClaimRow content;
    Phase phase;
    AttemptResult result;
    long expectedRevision = RowChange.ABSENT;

    /** Content of the last write submitted for the current attempt, null if there was none. */
    ClaimRow lastSubmitted;

    MonotonicTime queuedAt;
    MonotonicTime notBefore;

    /** Whether the next write must contain no other claim, so that a failure can be attributed to this one. */
    boolean writeAlone;

    ClaimEntry(ClaimRequest first) {
        key = first.key();
        row = key.row();
    }

    void startAttempt(AttemptId id, ClaimRequest first) {
        attempt = id;
        content = ClaimRow.claimed(id, first);
        phase = Phase.CLAIMING;
        result = null;
        lastSubmitted = null;
    }

    void recordResult(AttemptResult r) {
        result = r;
        content = content.withResult(r);
        phase = r instanceof AttemptResult.NotRun ? Phase.RELEASING : Phase.RECORDING;
    }

    RowChange toRowChange() {
        return new RowChange.Put(row, expectedRevision, ClaimRowCodec.encode(content));
    }

    /** Returns whether the last submitted write carried the current content. */
    boolean isContentSubmitted() {
        return content.equals(lastSubmitted);
    }

    boolean matchesRow(Row present) {
        return present.value().equals(ClaimRowCodec.encode(content));
    }
}
