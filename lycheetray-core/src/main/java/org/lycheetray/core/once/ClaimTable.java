package org.lycheetray.core.once;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.stream.Stream;
import org.lycheetray.core.model.Incarnation;
import org.lycheetray.core.model.RequestId;
import org.lycheetray.core.once.ClaimEntry.Phase;
import org.lycheetray.core.table.Row;
import org.lycheetray.core.table.RowChange;
import org.lycheetray.core.table.RowKey;
import org.lycheetray.core.table.WriteResult;
import org.lycheetray.core.time.MonotonicTime;

/**
 * Claims of idempotency keys as one process sees them.
 *
 * <p>A request may be dispatched only after the row of its key was written with the id of its attempt. Nobody overrides
 * a claim while it might have been dispatched: only the process that wrote it can say that it was not, and a process
 * keeps every attempt in memory from before its first write until the table holds the attempt's end. So an attempt of
 * this process that is not in memory was never dispatched and never will be, which makes a claim that took effect long
 * after its answer was lost harmless: whoever meets it asks, and replaces it. The claim of a dead process stays for
 * good, and its key is {@code unknown}: running at most once goes before availability.
 *
 * <p>A write whose answer was lost is sent again unchanged. Its conditions make that safe, and the conflict that it
 * meets if the first one took effect shows the attempt's own id. A release is written as a row, not as a deletion, so
 * that the delayed claim that it follows finds its condition broken.
 */
public final class ClaimTable {
    private final Incarnation self;
    private final ClaimSettings settings;
    private final ClaimBatcher batcher;
    private final Map<RowKey, ClaimEntry> entries = new HashMap<>();
    private final Map<Long, ClaimEntry> asked = new HashMap<>();
    private final Map<AttemptId, ClaimEntry> attempts = new HashMap<>();
    private Optional<MonotonicTime> unansweredSince = Optional.empty();
    private long lastAttempt;
    private long lastQuestion;

    /**
     * Creates an empty table.
     *
     * @param self this process
     * @param settings limits
     */
    public ClaimTable(Incarnation self, ClaimSettings settings) {
        this.self = self;
        this.settings = settings;
        batcher = new ClaimBatcher(settings);
    }

    /**
     * Takes a request that wants to run; {@link ClaimEffect.Decide} follows, now or later.
     *
     * @param r the request
     * @param now present time
     * @return effects
     */
    public List<ClaimEffect> claim(ClaimRequest r, MonotonicTime now) {
        ClaimEntry e = entries.get(r.key().row());
        if (e != null) {
            return join(e, r);
        }
        if (batcher.floor().isExpired(r.key())) {
            return refuse(r, FailurePoint.KEY_EXPIRED);
        }
        if (!now.isBefore(lastChance(r))) {
            return refuse(r, FailurePoint.CLAIM_NOT_IN_TIME);
        }
        if (isStoreDown(now)) {
            return refuse(r, FailurePoint.CLAIM_STORE_DOWN);
        }
        if (entries.size() >= settings.maxClaims()) {
            return refuse(r, FailurePoint.CLAIMS_FULL);
        }
        ClaimEntry fresh = new ClaimEntry(r);
        fresh.waiting.add(r);
        entries.put(fresh.row, fresh);
        startAttempt(fresh, now);
        return tick(now);
    }

    /**
     * Takes the end of an attempt that was allowed to run.
     *
     * @param attempt the attempt
     * @param result how it ended; {@link AttemptResult.NotRun} only where {@link RequestOutcome} proves it
     * @param now present time
     * @return effects
     */
    public List<ClaimEffect> ended(AttemptId attempt, AttemptResult result, MonotonicTime now) {
        List<ClaimEffect> effects = new ArrayList<>();
        find(attempt).filter(e -> e.phase == Phase.HELD).ifPresent(e -> {
            e.end(result);
            e.waiting.forEach(r -> effects.add(new ClaimEffect.Decide(r.id(), verdictOf(result))));
            e.waiting.clear();
            answerQuestions(e, effects);
            batcher.enqueue(e, now);
        });
        effects.addAll(tick(now));
        return effects;
    }

    /**
     * Forgets a request whose caller has left before it was told a verdict.
     *
     * @param id the request
     */
    public void left(RequestId id) {
        entries.values().forEach(e -> e.waiting.removeIf(r -> r.id().equals(id)));
    }

    /**
     * Takes the result of a write.
     *
     * @param number number of the write; an unknown or repeated one is ignored
     * @param result what is known of it
     * @param now present time
     * @return effects
     */
    public List<ClaimEffect> written(long number, WriteResult result, MonotonicTime now) {
        List<ClaimEffect> effects = new ArrayList<>();
        batcher.answered(number).ifPresent(batch -> {
            boolean lost = result instanceof WriteResult.Unknown;
            unansweredSince = lost ? unansweredSince.or(() -> Optional.of(now)) : Optional.empty();
            switch (result) {
                case WriteResult.Applied a -> batch.forEach(e -> applied(e, a.revision(), now));
                case WriteResult.Conflict c -> conflict(batch, c, now, effects);
                case WriteResult.Unknown u ->
                    batch.forEach(e -> batcher.enqueueAfter(e, now, now.plus(settings.resubmitAfter())));
            }
            batch.forEach(e -> decideHeld(e, effects));
        });
        effects.addAll(tick(now));
        return effects;
    }

    /**
     * Takes another VM's question about an attempt of this process.
     *
     * @param question the asker's handle
     * @param attempt the attempt
     * @return effects; the answer may come later, when the attempt ends
     */
    public List<ClaimEffect> peerAsked(PeerQuestion question, AttemptId attempt) {
        if (!attempt.holder().equals(self)) {
            return List.of(new ClaimEffect.AnswerHolder(question, new AttemptResult.Unknown()));
        }
        Optional<ClaimEntry> e = find(attempt);
        if (e.isEmpty()) {
            return List.of(new ClaimEffect.AnswerHolder(question, new AttemptResult.NotRun()));
        }
        e.get().questions.add(question);
        List<ClaimEffect> effects = new ArrayList<>();
        answerQuestions(e.get(), effects);
        return effects;
    }

    /**
     * Takes the answer of the VM that holds a claim; a question that failed is answered {@code Unknown}.
     *
     * @param number number of the question; an unknown or repeated one is ignored
     * @param result what became of the attempt
     * @param now present time
     * @return effects
     */
    public List<ClaimEffect> peerAnswered(long number, AttemptResult result, MonotonicTime now) {
        ClaimEntry e = asked.remove(number);
        List<ClaimEffect> effects = new ArrayList<>();
        if (e != null && e.phase == Phase.ASKING) {
            if (result instanceof AttemptResult.NotRun) {
                startAttempt(e, now);
            } else {
                decideAll(e, verdictOf(result), effects);
                forget(e);
            }
        }
        effects.addAll(tick(now));
        return effects;
    }

    /**
     * Lets time pass: refuses what waited too long and sends what is due.
     *
     * @param now present time
     * @return effects
     */
    public List<ClaimEffect> tick(MonotonicTime now) {
        List<ClaimEffect> effects = new ArrayList<>();
        Iterator<ClaimEntry> all = entries.values().iterator();
        while (all.hasNext()) {
            ClaimEntry e = all.next();
            e.waiting.removeIf(r -> expire(e, r, now, effects));
            if (e.waiting.isEmpty() && abandon(e, effects)) {
                attempts.remove(e.attempt);
                all.remove();
            }
        }
        effects.addAll(batcher.flush(now));
        return effects;
    }

    /**
     * Tells when {@link #tick} is next of use.
     *
     * @return a time, or empty if nothing waits
     */
    public Optional<MonotonicTime> due() {
        Stream<MonotonicTime> expiries = entries.values().stream()
                .flatMap(e -> e.waiting.stream().map(r -> e.phase == Phase.CLAIMING ? lastChance(r) : r.deadline()));
        return Stream.concat(expiries, batcher.due().stream()).min(Comparator.naturalOrder());
    }

    /**
     * Takes a newer floor, read by the clean-up of old claims.
     *
     * @param floor the floor
     */
    public void raiseFloor(ClaimFloor floor) {
        batcher.raiseFloor(floor);
    }

    /**
     * Counts the claims whose end the table does not hold yet; a planned stop waits until there are none.
     *
     * @return claims in memory
     */
    public int open() {
        return entries.size();
    }

    /**
     * Counts the writes sent so far.
     *
     * @return writes, repeated ones included
     */
    public long writes() {
        return batcher.writes();
    }

    private List<ClaimEffect> join(ClaimEntry e, ClaimRequest r) {
        boolean mayReplace = e.phase == Phase.RELEASING;
        RequestDigest held =
                e.waiting.isEmpty() ? e.content.digest() : e.waiting.getFirst().digest();
        if (!held.equals(r.digest()) && !(mayReplace && e.waiting.isEmpty())) {
            return refuse(r, FailurePoint.KEY_REUSED);
        }
        if (e.phase == Phase.RECORDING) {
            return List.of(new ClaimEffect.Decide(r.id(), verdictOf(e.result)));
        }
        e.waiting.add(r);
        return List.of();
    }

    private void startAttempt(ClaimEntry e, MonotonicTime now) {
        attempts.remove(e.attempt);
        e.startAttempt(new AttemptId(self, ++lastAttempt), e.waiting.getFirst());
        attempts.put(e.attempt, e);
        batcher.enqueue(e, now);
    }

    private void forget(ClaimEntry e) {
        attempts.remove(e.attempt);
        entries.remove(e.row);
    }

    private void applied(ClaimEntry e, long revision, MonotonicTime now) {
        e.expectedRevision = revision;
        e.alone = false;
        if (!e.isUpToDate()) {
            batcher.enqueue(e, now);
        } else if (e.phase == Phase.CLAIMING && e.waiting.isEmpty()) {
            e.end(new AttemptResult.NotRun());
            batcher.enqueue(e, now);
        } else if (e.phase == Phase.CLAIMING) {
            e.phase = Phase.HELD;
        } else if (e.waiting.isEmpty()) {
            forget(e);
        } else {
            startAttempt(e, now);
        }
    }

    private void decideHeld(ClaimEntry e, List<ClaimEffect> effects) {
        if (e.phase == Phase.HELD) {
            ClaimRequest first = e.waiting.removeFirst();
            ClaimVerdict run = new ClaimVerdict.Run(e.attempt, first.deadline());
            effects.add(new ClaimEffect.Decide(first.id(), run));
        }
    }

    private void conflict(
            List<ClaimEntry> batch, WriteResult.Conflict c, MonotonicTime now, List<ClaimEffect> effects) {
        Map<RowKey, Row> present = new HashMap<>();
        c.present().forEach(r -> present.put(r.key(), r));
        Row floorRow = present.get(ClaimFloor.ROW);
        if (floorRow != null) {
            batcher.raiseFloor(ClaimFloor.of(floorRow));
        }
        boolean explained = floorRow != null || batch.stream().anyMatch(e -> present.containsKey(e.row));
        for (ClaimEntry e : batch) {
            Row row = present.get(e.row);
            if (batcher.floor().isExpired(e.key)) {
                expired(e, effects);
            } else if (row != null) {
                meet(e, row, now, effects);
            } else {
                missing(e, explained, now);
            }
        }
    }

    /** Sends a change again whose own condition may have held; one that fails alone has lost its row. */
    private void missing(ClaimEntry e, boolean explained, MonotonicTime now) {
        if (!explained && e.alone) {
            e.expectedRevision = RowChange.ABSENT;
        }
        e.alone = !explained;
        batcher.enqueue(e, now);
    }

    private void expired(ClaimEntry e, List<ClaimEffect> effects) {
        decideAll(e, new ClaimVerdict.Refuse(FailurePoint.KEY_EXPIRED), effects);
        forget(e);
    }

    private void meet(ClaimEntry e, Row row, MonotonicTime now, List<ClaimEffect> effects) {
        if (e.isWrittenIn(row)) {
            applied(e, row.revision(), now);
            return;
        }
        Optional<ClaimRow> content = ClaimRowCodec.decode(row.value());
        boolean ours = content.map(c -> c.attempt().equals(e.attempt)).orElse(false);
        if (ours) {
            e.expectedRevision = row.revision();
            batcher.enqueue(e, now);
        } else if (e.phase == Phase.CLAIMING) {
            yieldTo(e, row, content, now, effects);
        } else if (e.waiting.isEmpty()) {
            forget(e);
        } else {
            startAttempt(e, now);
        }
    }

    private void yieldTo(
            ClaimEntry e, Row row, Optional<ClaimRow> content, MonotonicTime now, List<ClaimEffect> effects) {
        if (content.isEmpty()) {
            refuseAll(e, FailurePoint.EARLIER_ATTEMPT, effects);
            return;
        }
        ClaimRow other = content.get();
        e.expectedRevision = row.revision();
        if (other.state() == ClaimRow.State.RELEASED) {
            startAttempt(e, now);
        } else if (!other.digest().equals(e.content.digest())) {
            refuseAll(e, FailurePoint.KEY_REUSED, effects);
        } else if (other.state() == ClaimRow.State.ANSWERED) {
            decideAll(e, new ClaimVerdict.Repeat(other.answer().orElseThrow()), effects);
            forget(e);
        } else if (other.state() == ClaimRow.State.UNKNOWN) {
            refuseAll(e, FailurePoint.EARLIER_ATTEMPT, effects);
        } else {
            resolveHolder(e, other.attempt(), now, effects);
        }
    }

    private void resolveHolder(ClaimEntry e, AttemptId holder, MonotonicTime now, List<ClaimEffect> effects) {
        if (holder.holder().equals(self)) {
            startAttempt(e, now);
        } else if (holder.holder().vm().equals(self.vm())) {
            refuseAll(e, FailurePoint.EARLIER_ATTEMPT, effects);
        } else {
            e.phase = Phase.ASKING;
            asked.put(++lastQuestion, e);
            effects.add(new ClaimEffect.AskHolder(lastQuestion, holder));
        }
    }

    private boolean expire(ClaimEntry e, ClaimRequest r, MonotonicTime now, List<ClaimEffect> effects) {
        MonotonicTime limit = e.phase == Phase.CLAIMING ? lastChance(r) : r.deadline();
        if (now.isBefore(limit)) {
            return false;
        }
        boolean neverRan = e.phase == Phase.CLAIMING || e.phase == Phase.RELEASING;
        FailurePoint point = neverRan ? FailurePoint.CLAIM_NOT_IN_TIME : FailurePoint.EARLIER_ATTEMPT;
        effects.add(new ClaimEffect.Decide(r.id(), new ClaimVerdict.Refuse(point)));
        return true;
    }

    /** Gives up a claim that nobody waits for any more; returns true if it can be forgotten at once. */
    private boolean abandon(ClaimEntry e, List<ClaimEffect> effects) {
        if (e.phase == Phase.ASKING) {
            asked.values().removeIf(o -> o.equals(e));
            return true;
        }
        if (e.phase != Phase.CLAIMING) {
            return false;
        }
        if (e.submitted == null) {
            batcher.remove(e);
            return true;
        }
        e.end(new AttemptResult.NotRun());
        answerQuestions(e, effects);
        return false;
    }

    private MonotonicTime lastChance(ClaimRequest r) {
        return r.deadline().plus(settings.dispatchMargin().negated());
    }

    private boolean isStoreDown(MonotonicTime now) {
        return !batcher.isIdle()
                && unansweredSince
                        .filter(t -> now.since(t).compareTo(settings.storeDownAfter()) >= 0)
                        .isPresent();
    }

    private Optional<ClaimEntry> find(AttemptId attempt) {
        return Optional.ofNullable(attempts.get(attempt));
    }

    private static void answerQuestions(ClaimEntry e, List<ClaimEffect> effects) {
        if (e.result != null) {
            e.questions.forEach(q -> effects.add(new ClaimEffect.AnswerHolder(q, e.result)));
            e.questions.clear();
        }
    }

    private void refuseAll(ClaimEntry e, FailurePoint point, List<ClaimEffect> effects) {
        decideAll(e, new ClaimVerdict.Refuse(point), effects);
        forget(e);
    }

    private static void decideAll(ClaimEntry e, ClaimVerdict verdict, List<ClaimEffect> effects) {
        e.waiting.forEach(r -> effects.add(new ClaimEffect.Decide(r.id(), verdict)));
        e.waiting.clear();
    }

    private static List<ClaimEffect> refuse(ClaimRequest r, FailurePoint point) {
        return List.of(new ClaimEffect.Decide(r.id(), new ClaimVerdict.Refuse(point)));
    }

    private static ClaimVerdict verdictOf(AttemptResult result) {
        return switch (result) {
            case AttemptResult.Answered a -> new ClaimVerdict.Repeat(a.answer());
            case AttemptResult.NotRun n -> new ClaimVerdict.Refuse(FailurePoint.JOINED_NOT_RUN);
            case AttemptResult.Unknown u -> new ClaimVerdict.Refuse(FailurePoint.EARLIER_ATTEMPT);
        };
    }
}
