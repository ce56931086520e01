package org.lycheetray.core.once;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.lycheetray.core.model.ClientAccountName;
import org.lycheetray.core.model.Incarnation;
import org.lycheetray.core.model.RequestId;
import org.lycheetray.core.model.VmName;
import org.lycheetray.core.table.Row;
import org.lycheetray.core.table.RowChange;
import org.lycheetray.core.table.RowKey;
import org.lycheetray.core.table.WriteResult;
import org.lycheetray.core.time.MonotonicTime;

/** Runs one {@link ClaimTable} against an in-memory table service; several drivers may share its rows. */
final class ClaimDriver {
    static final Optional<ClientAccountName> ACCOUNT = Optional.of(new ClientAccountName("olwyn"));
    private static final Duration TIMEOUT = Duration.ofSeconds(3);

    final Map<RowKey, Row> rows;
    final ClaimTable table;
    final List<ClaimEffect.Write> writes = new ArrayList<>();
    final List<ClaimEffect.AskHolder> questions = new ArrayList<>();
    final List<ClaimEffect.AnswerPeer> answers = new ArrayList<>();
    final Map<String, ClaimVerdict> verdicts = new HashMap<>();
    MonotonicTime now = MonotonicTime.ZERO;

    ClaimDriver(String vm, long incarnation, Map<RowKey, Row> rows) {
        this.rows = rows;
        table = new ClaimTable(new Incarnation(new VmName(vm), incarnation), ClaimSettings.DEFAULT);
    }

    static ClaimDriver createSingle() {
        return new ClaimDriver("vm-1", 1, new HashMap<>());
    }

    ClaimDriver claim(String request, String key, String content) {
        RequestDigest digest = RequestDigest.of("POST", "h", content, new byte[0]);
        ClaimKey claimKey = new ClaimKey(ACCOUNT, key);
        return collectEffects(table.claim(
                new ClaimRequest(new RequestId(request), claimKey, digest, now.plus(TIMEOUT), Instant.EPOCH), now));
    }

    /** Claims the key and completes the writes; the request must be allowed to run. */
    AttemptId claimAndRun(String request, String key) {
        claim(request, key, "same").completeWrites();
        return ((ClaimVerdict.Run) verdicts.get(request)).attempt();
    }

    ClaimDriver end(AttemptId attempt, AttemptResult result) {
        return collectEffects(table.recordResult(attempt, result, now));
    }

    ClaimDriver advance(Duration d) {
        now = now.plus(d);
        return collectEffects(table.tick(now));
    }

    /** Applies all writes until none is due. */
    ClaimDriver completeWrites() {
        advance(ClaimSettings.DEFAULT.linger());
        while (!writes.isEmpty()) {
            ClaimEffect.Write w = writes.removeFirst();
            collectEffects(table.handleWriteResult(w.number(), applyWrite(w), now));
            advance(ClaimSettings.DEFAULT.linger());
        }
        return this;
    }

    /** Reports the next write as unknown; it takes effect only if {@code applied} is set. */
    ClaimEffect.Write loseWriteAnswer(boolean applied) {
        advance(ClaimSettings.DEFAULT.linger());
        ClaimEffect.Write w = writes.removeFirst();
        if (applied) {
            applyWrite(w);
        }
        collectEffects(table.handleWriteResult(w.number(), new WriteResult.Unknown("write claims: timeout"), now));
        return w;
    }

    WriteResult applyWrite(ClaimEffect.Write w) {
        List<Row> failed = new ArrayList<>();
        boolean conflict = false;
        for (RowChange c : w.changes()) {
            Row present = rows.get(c.key());
            if ((present == null ? 0 : present.revision()) != c.expectedRevision()) {
                conflict = true;
                if (present != null) {
                    failed.add(present);
                }
            }
        }
        if (conflict) {
            return new WriteResult.Conflict(failed);
        }
        long revision = rows.values().stream().mapToLong(Row::revision).max().orElse(0) + 1;
        w.changes().forEach(c -> {
            if (c instanceof RowChange.Put p) {
                rows.put(p.key(), new Row(p.key(), revision, p.value()));
            }
        });
        return new WriteResult.Applied(revision);
    }

    ClaimDriver collectEffects(List<ClaimEffect> effects) {
        for (ClaimEffect e : effects) {
            switch (e) {
                case ClaimEffect.Write w -> writes.add(w);
                case ClaimEffect.AskHolder q -> questions.add(q);
                case ClaimEffect.AnswerPeer a -> answers.add(a);
                case ClaimEffect.Decide d -> verdicts.put(d.request().value(), d.verdict());
            }
        }
        return this;
    }
}
