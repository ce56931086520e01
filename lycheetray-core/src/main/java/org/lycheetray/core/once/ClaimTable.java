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
 * The claims on idempotency keys that this process is writing, holds or waits for.
 *
 * <p>A request may be dispatched only after the row of its key has been written with the id of its attempt. A claim is
 * not replaced while its request may have been dispatched. Only the process that wrote the claim can rule that out: it
 * keeps each attempt in memory from before the first write until the row records how the attempt ended. An attempt of
 * this process that is not in memory was therefore never dispatched and never will be. If a claim takes effect long
 * after the answer to its write was lost, another VM that finds it asks this process, learns that the attempt did not
 * run, and replaces the row. The claim of a process that has died is never replaced, and requests with its key are
 * refused with outcome {@code unknown}: at-most-once execution takes precedence over availability.
 *
 * <p>A write whose answer was lost is sent again unchanged. This is safe because writes are conditional: if the first
 * write took effect, the second fails with a conflict that shows the attempt's own id. A release is written as a row
 * instead of a deletion, so that a delayed claim write of the same attempt fails its condition.
 *
 * <p>The class does no I/O: its methods return the {@link ClaimEffect}s that the caller must carry out.
 */
public final class ClaimTable {
    private final Incarnation localProcess;
    private final ClaimSettings settings;
    private final ClaimBatcher batcher;
    private final Map<RowKey, ClaimEntry> entriesByRow = new HashMap<>();
    private final Map<Long, ClaimEntry> pendingQuestions = new HashMap<>();
    private final Map<AttemptId, ClaimEntry> entriesByAttempt = new HashMap<>();
    private Optional<MonotonicTime> unansweredSince = Optional.empty();
    private long lastAttemptNumber;
    private long lastQuestionNumber;

    /**
     * Creates an empty table.
     *
     * @param localProcess incarnation of the local process
     * @param settings limits
     */
    public ClaimTable(Incarnation localProcess, ClaimSettings settings) {
        this.localProcess = localProcess;
        this.settings = settings;
        batcher = new ClaimBatcher(settings);
    }

    /**
     * Claims the key of a request, or joins the attempt that already claims it. A {@link ClaimEffect.Decide} for the
     * request follows, from this call or a later one.
     *
     * @param r the request
     * @param now present time
     * @return effects
     */
    public List<ClaimEffect> claim(ClaimRequest r, MonotonicTime now) {
        ClaimEntry e = entriesByRow.get(r.key().row());
        if (e != null) {
            return joinAttempt(e, r);
        }
        if (batcher.watermark().isExpired(r.key())) {
            return refuse(r, FailurePoint.KEY_EXPIRED);
        }
        if (!now.isBefore(latestDispatch(r))) {
            return refuse(r, FailurePoint.CLAIM_NOT_IN_TIME);
        }
        if (isStoreDown(now)) {
            return refuse(r, FailurePoint.CLAIM_STORE_DOWN);
        }
        if (entriesByRow.size() >= settings.maxClaims()) {
            return refuse(r, FailurePoint.CLAIMS_FULL);
        }
        ClaimEntry fresh = new ClaimEntry(r);
        fresh.waitingRequests.add(r);
        entriesByRow.put(fresh.row, fresh);
        startAttempt(fresh, now);
        return tick(now);
    }

    /**
     * Applies the result of an attempt that was allowed to run.
     *
     * @param attempt the attempt
     * @param result how it ended; {@link AttemptResult.NotRun} only where {@link RequestOutcome} proves it
     * @param now present time
     * @return effects
     */
    public List<ClaimEffect> recordResult(AttemptId attempt, AttemptResult result, MonotonicTime now) {
        List<ClaimEffect> effects = new ArrayList<>();
        findByAttempt(attempt).filter(e -> e.phase == Phase.HELD).ifPresent(e -> {
            e.recordResult(result);
            e.waitingRequests.forEach(r -> effects.add(new ClaimEffect.Decide(r.id(), verdictFor(result))));
            e.waitingRequests.clear();
            answerPeerQuestions(e, effects);
            batcher.enqueue(e, now);
        });
        effects.addAll(tick(now));
        return effects;
    }

    /**
     * Removes a waiting request whose caller disconnected before a verdict was reached.
     *
     * @param id the request
     */
    public void removeRequest(RequestId id) {
        entriesByRow.values().forEach(e -> e.waitingRequests.removeIf(r -> r.id().equals(id)));
    }

    /**
     * Applies the result of a write.
     *
     * @param number number of the write; an unknown or repeated one is ignored
     * @param result result of the write
     * @param now present time
     * @return effects
     */
    public List<ClaimEffect> handleWriteResult(long number, WriteResult result, MonotonicTime now) {
        List<ClaimEffect> effects = new ArrayList<>();
        batcher.removeInFlight(number).ifPresent(batch -> {
            boolean lost = result instanceof WriteResult.Unknown;
            unansweredSince = lost ? unansweredSince.or(() -> Optional.of(now)) : Optional.empty();
            switch (result) {
                case WriteResult.Applied a -> batch.forEach(e -> handleApplied(e, a.revision(), now));
                case WriteResult.Conflict c -> handleConflict(batch, c, now, effects);
                case WriteResult.Unknown u ->
                    batch.forEach(e -> batcher.enqueueAfter(e, now, now.plus(settings.resubmitAfter())));
            }
            batch.forEach(e -> decideHeld(e, effects));
        });
        effects.addAll(tick(now));
        return effects;
    }

    /**
     * Handles another VM's question about an attempt of this process.
     *
     * @param question identifies the question to the process that asked
     * @param attempt the attempt
     * @return effects; if the attempt has not ended, the answer follows when it ends
     */
    public List<ClaimEffect> handlePeerQuestion(PeerQuestion question, AttemptId attempt) {
        if (!attempt.holder().equals(localProcess)) {
            return List.of(new ClaimEffect.AnswerPeer(question, new AttemptResult.Unknown()));
        }
        Optional<ClaimEntry> e = findByAttempt(attempt);
        if (e.isEmpty()) {
            return List.of(new ClaimEffect.AnswerPeer(question, new AttemptResult.NotRun()));
        }
        e.get().questions.add(question);
        List<ClaimEffect> effects = new ArrayList<>();
        answerPeerQuestions(e.get(), effects);
        return effects;
    }

    /**
     * Applies the answer of the VM that holds a claim. For a question that failed, the caller passes
     * {@link AttemptResult.Unknown}.
     *
     * @param number number of the question; an unknown or repeated one is ignored
     * @param result result of the attempt
     * @param now present time
     * @return effects
     */
    public List<ClaimEffect> handlePeerAnswer(long number, AttemptResult result, MonotonicTime now) {
        ClaimEntry e = pendingQuestions.remove(number);
        List<ClaimEffect> effects = new ArrayList<>();
        if (e != null && e.phase == Phase.ASKING) {
            if (result instanceof AttemptResult.NotRun) {
                startAttempt(e, now);
            } else {
                decideAllWaiting(e, verdictFor(result), effects);
                removeEntry(e);
            }
        }
        effects.addAll(tick(now));
        return effects;
    }

    /**
     * Refuses requests that have waited too long and sends the writes that are due.
     *
     * @param now present time
     * @return effects
     */
    public List<ClaimEffect> tick(MonotonicTime now) {
        List<ClaimEffect> effects = new ArrayList<>();
        Iterator<ClaimEntry> all = entriesByRow.values().iterator();
        while (all.hasNext()) {
            ClaimEntry e = all.next();
            e.waitingRequests.removeIf(r -> refuseIfTooLate(e, r, now, effects));
            if (e.waitingRequests.isEmpty() && abandon(e, effects)) {
                entriesByAttempt.remove(e.attempt);
                all.remove();
            }
        }
        effects.addAll(batcher.flush(now));
        return effects;
    }

    /**
     * Returns the time at which {@link #tick} must be called next.
     *
     * @return the time, or empty if nothing is waiting
     */
    public Optional<MonotonicTime> nextTickTime() {
        Stream<MonotonicTime> expiries = entriesByRow.values().stream()
                .flatMap(e -> e.waitingRequests.stream()
                        .map(r -> e.phase == Phase.CLAIMING ? latestDispatch(r) : r.deadline()));
        return Stream.concat(expiries, batcher.due().stream()).min(Comparator.naturalOrder());
    }

    /**
     * Applies an expiry watermark read by the clean-up of old claims; an older one is ignored.
     *
     * @param watermark the watermark
     */
    public void raiseWatermark(ClaimExpiryWatermark watermark) {
        batcher.raiseWatermark(watermark);
    }

    /**
     * Returns the number of claims in memory, whose result is not in the table service yet. A planned stop waits until
     * it is 0.
     *
     * @return number of claims
     */
    public int openClaims() {
        return entriesByRow.size();
    }

    /**
     * Returns the number of writes sent so far.
     *
     * @return number of writes, including repeated ones
     */
    public long writeCount() {
        return batcher.writeCount();
    }

    private List<ClaimEffect> joinAttempt(ClaimEntry e, ClaimRequest r) {
        boolean mayReplace = e.phase == Phase.RELEASING;
        RequestDigest held = e.waitingRequests.isEmpty()
                ? e.content.digest()
                : e.waitingRequests.getFirst().digest();
        if (!held.equals(r.digest()) && !(mayReplace && e.waitingRequests.isEmpty())) {
            return refuse(r, FailurePoint.KEY_REUSED);
        }
        if (e.phase == Phase.RECORDING) {
            return List.of(new ClaimEffect.Decide(r.id(), verdictFor(e.result)));
        }
        e.waitingRequests.add(r);
        return List.of();
    }

    private void startAttempt(ClaimEntry e, MonotonicTime now) {
        entriesByAttempt.remove(e.attempt);
        e.startAttempt(new AttemptId(localProcess, ++lastAttemptNumber), e.waitingRequests.getFirst());
        entriesByAttempt.put(e.attempt, e);
        batcher.enqueue(e, now);
    }

    private void removeEntry(ClaimEntry e) {
        entriesByAttempt.remove(e.attempt);
        entriesByRow.remove(e.row);
    }

    private void handleApplied(ClaimEntry e, long revision, MonotonicTime now) {
        e.expectedRevision = revision;
        e.writeAlone = false;
        if (!e.isContentSubmitted()) {
            batcher.enqueue(e, now);
        } else if (e.phase == Phase.CLAIMING && e.waitingRequests.isEmpty()) {
            e.recordResult(new AttemptResult.NotRun());
            batcher.enqueue(e, now);
        } else if (e.phase == Phase.CLAIMING) {
            e.phase = Phase.HELD;
        } else if (e.waitingRequests.isEmpty()) {
            removeEntry(e);
        } else {
            startAttempt(e, now);
        }
    }

    private void decideHeld(ClaimEntry e, List<ClaimEffect> effects) {
        if (e.phase == Phase.HELD) {
            ClaimRequest first = e.waitingRequests.removeFirst();
            ClaimVerdict run = new ClaimVerdict.Run(e.attempt, first.deadline());
            effects.add(new ClaimEffect.Decide(first.id(), run));
        }
    }

    private void handleConflict(
            List<ClaimEntry> batch, WriteResult.Conflict c, MonotonicTime now, List<ClaimEffect> effects) {
        Map<RowKey, Row> present = new HashMap<>();
        c.present().forEach(r -> present.put(r.key(), r));
        Row watermarkRow = present.get(ClaimExpiryWatermark.ROW);
        if (watermarkRow != null) {
            batcher.raiseWatermark(ClaimExpiryWatermark.of(watermarkRow));
        }
        boolean otherRowReported = watermarkRow != null || batch.stream().anyMatch(e -> present.containsKey(e.row));
        for (ClaimEntry e : batch) {
            Row row = present.get(e.row);
            if (batcher.watermark().isExpired(e.key)) {
                refuseExpired(e, effects);
            } else if (row != null) {
                resolveFoundRow(e, row, now, effects);
            } else {
                retryUnreported(e, otherRowReported, now);
            }
        }
    }

    /**
     * Queues a change of a failed write again when the conflict did not report its row.
     *
     * <p>If the conflict reported another row, this change's own condition may have held, and it is simply sent again.
     * Otherwise it is written alone, so that the failure can be attributed to it. If that fails too, its row no longer
     * exists.
     */
    private void retryUnreported(ClaimEntry e, boolean otherRowReported, MonotonicTime now) {
        if (!otherRowReported && e.writeAlone) {
            e.expectedRevision = RowChange.ABSENT;
        }
        e.writeAlone = !otherRowReported;
        batcher.enqueue(e, now);
    }

    private void refuseExpired(ClaimEntry e, List<ClaimEffect> effects) {
        decideAllWaiting(e, new ClaimVerdict.Refuse(FailurePoint.KEY_EXPIRED), effects);
        removeEntry(e);
    }

    private void resolveFoundRow(ClaimEntry e, Row row, MonotonicTime now, List<ClaimEffect> effects) {
        if (e.matchesRow(row)) {
            handleApplied(e, row.revision(), now);
            return;
        }
        Optional<ClaimRow> content = ClaimRowCodec.decode(row.value());
        boolean sameAttempt = content.map(c -> c.attempt().equals(e.attempt)).orElse(false);
        if (sameAttempt) {
            e.expectedRevision = row.revision();
            batcher.enqueue(e, now);
        } else if (e.phase == Phase.CLAIMING) {
            resolveOtherClaim(e, row, content, now, effects);
        } else if (e.waitingRequests.isEmpty()) {
            removeEntry(e);
        } else {
            startAttempt(e, now);
        }
    }

    private void resolveOtherClaim(
            ClaimEntry e, Row row, Optional<ClaimRow> content, MonotonicTime now, List<ClaimEffect> effects) {
        if (content.isEmpty()) {
            refuseAllWaiting(e, FailurePoint.EARLIER_ATTEMPT, effects);
            return;
        }
        ClaimRow other = content.get();
        e.expectedRevision = row.revision();
        if (other.state() == ClaimRow.State.RELEASED) {
            startAttempt(e, now);
        } else if (!other.digest().equals(e.content.digest())) {
            refuseAllWaiting(e, FailurePoint.KEY_REUSED, effects);
        } else if (other.state() == ClaimRow.State.ANSWERED) {
            decideAllWaiting(e, new ClaimVerdict.Replay(other.answer().orElseThrow()), effects);
            removeEntry(e);
        } else if (other.state() == ClaimRow.State.UNKNOWN) {
            refuseAllWaiting(e, FailurePoint.EARLIER_ATTEMPT, effects);
        } else {
            resolveHeldClaim(e, other.attempt(), now, effects);
        }
    }

    private void resolveHeldClaim(ClaimEntry e, AttemptId holder, MonotonicTime now, List<ClaimEffect> effects) {
        if (holder.holder().equals(localProcess)) {
            startAttempt(e, now);
        } else if (holder.holder().vm().equals(localProcess.vm())) {
            refuseAllWaiting(e, FailurePoint.EARLIER_ATTEMPT, effects);
        } else {
            e.phase = Phase.ASKING;
            pendingQuestions.put(++lastQuestionNumber, e);
            effects.add(new ClaimEffect.AskHolder(lastQuestionNumber, holder));
        }
    }

    private boolean refuseIfTooLate(ClaimEntry e, ClaimRequest r, MonotonicTime now, List<ClaimEffect> effects) {
        MonotonicTime limit = e.phase == Phase.CLAIMING ? latestDispatch(r) : r.deadline();
        if (now.isBefore(limit)) {
            return false;
        }
        boolean neverRan = e.phase == Phase.CLAIMING || e.phase == Phase.RELEASING;
        FailurePoint point = neverRan ? FailurePoint.CLAIM_NOT_IN_TIME : FailurePoint.EARLIER_ATTEMPT;
        effects.add(new ClaimEffect.Decide(r.id(), new ClaimVerdict.Refuse(point)));
        return true;
    }

    /** Abandons a claim that no request waits for any more; returns true if its entry can be removed immediately. */
    private boolean abandon(ClaimEntry e, List<ClaimEffect> effects) {
        if (e.phase == Phase.ASKING) {
            pendingQuestions.values().removeIf(o -> o.equals(e));
            return true;
        }
        if (e.phase != Phase.CLAIMING) {
            return false;
        }
        if (e.lastSubmitted == null) {
            batcher.remove(e);
            return true;
        }
        e.recordResult(new AttemptResult.NotRun());
        answerPeerQuestions(e, effects);
        return false;
    }

    private MonotonicTime latestDispatch(ClaimRequest r) {
        return r.deadline().plus(settings.dispatchMargin().negated());
    }

    private boolean isStoreDown(MonotonicTime now) {
        return !batcher.isIdle()
                && unansweredSince
                        .filter(t -> now.since(t).compareTo(settings.storeDownAfter()) >= 0)
                        .isPresent();
    }

    private Optional<ClaimEntry> findByAttempt(AttemptId attempt) {
        return Optional.ofNullable(entriesByAttempt.get(attempt));
    }

    private static void answerPeerQuestions(ClaimEntry e, List<ClaimEffect> effects) {
        if (e.result != null) {
            e.questions.forEach(q -> effects.add(new ClaimEffect.AnswerPeer(q, e.result)));
            e.questions.clear();
        }
    }

    private void refuseAllWaiting(ClaimEntry e, FailurePoint point, List<ClaimEffect> effects) {
        decideAllWaiting(e, new ClaimVerdict.Refuse(point), effects);
        removeEntry(e);
    }

    private static void decideAllWaiting(ClaimEntry e, ClaimVerdict verdict, List<ClaimEffect> effects) {
        e.waitingRequests.forEach(r -> effects.add(new ClaimEffect.Decide(r.id(), verdict)));
        e.waitingRequests.clear();
    }

    private static List<ClaimEffect> refuse(ClaimRequest r, FailurePoint point) {
        return List.of(new ClaimEffect.Decide(r.id(), new ClaimVerdict.Refuse(point)));
    }

    private static ClaimVerdict verdictFor(AttemptResult result) {
        return switch (result) {
            case AttemptResult.Answered a -> new ClaimVerdict.Replay(a.answer());
            case AttemptResult.NotRun n -> new ClaimVerdict.Refuse(FailurePoint.JOINED_NOT_RUN);
            case AttemptResult.Unknown u -> new ClaimVerdict.Refuse(FailurePoint.EARLIER_ATTEMPT);
        };
    }
}
