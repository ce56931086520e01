package org.lycheetray.core.ledger;

import java.time.Instant;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.lycheetray.core.model.Incarnation;
import org.lycheetray.core.time.MonotonicTime;

/**
 * Decides when the lines of one process are sealed into segments and stored.
 *
 * <p>The first segment is sealed at the start and is empty, so that even a process that dies at once has left a trace.
 * One segment at a time is stored, in order: what a crash loses is always the end. While the object store is out of
 * reach lines are held up to a limit; beyond it requests are only counted, by client account, hour, class, outcome and
 * reason, so that totals still add up. Used by one thread.
 */
public final class LedgerWriter {
    private final Incarnation self;
    private final LedgerLimits limits;
    private final Deque<LedgerSegment> pending = new ArrayDeque<>();
    private final Map<LedgerKey, Long> counts = new LinkedHashMap<>();
    private List<LedgerLine> open = new ArrayList<>();
    private MonotonicTime openSince;
    private MonotonicTime retryAt;
    private boolean storing;
    private boolean finished;
    private long nextNumber;
    private long sealedRequests;
    private long unrecorded;
    private int pendingLines;

    /**
     * Creates a writer; {@link #start} must be called first.
     *
     * @param self the process whose ledger it is
     * @param limits sizes and times
     */
    public LedgerWriter(Incarnation self, LedgerLimits limits) {
        this.self = self;
        this.limits = limits;
    }

    /**
     * Opens the ledger.
     *
     * @param now the present point
     * @param time the present wall-clock time
     * @return what to do
     */
    public List<LedgerEffect> start(MonotonicTime now, Instant time) {
        seal(time, false);
        return storeNext(now);
    }

    /**
     * Records a request.
     *
     * @param line its line
     * @param now the present point
     * @param time the present wall-clock time
     * @return what to do
     * @throws IllegalStateException if the ledger was closed
     */
    public List<LedgerEffect> record(LedgerLine line, MonotonicTime now, Instant time) {
        if (finished) {
            throw new IllegalStateException("the ledger of %s is closed".formatted(self));
        }
        if (openSince == null) {
            openSince = now;
        }
        if (pendingLines + open.size() < limits.heldLines()) {
            open.add(line);
        } else {
            counts.merge(LedgerKey.of(line), 1L, Long::sum);
        }
        return sealIfDue(now, time);
    }

    /**
     * Notes requests that ended but could not be recorded, so that reports show them as missing.
     *
     * @param requests how many
     */
    public void unrecorded(long requests) {
        unrecorded += requests;
    }

    /**
     * Lets time pass.
     *
     * @param now the present point
     * @param time the present wall-clock time
     * @return what to do
     */
    public List<LedgerEffect> tick(MonotonicTime now, Instant time) {
        return pending.isEmpty() ? sealIfDue(now, time) : storeNext(now);
    }

    /**
     * Takes the news that the segment being stored is safe.
     *
     * @param now the present point
     * @param time the present wall-clock time
     * @return what to do
     */
    public List<LedgerEffect> stored(MonotonicTime now, Instant time) {
        pendingLines -= pending.removeFirst().lines().size();
        storing = false;
        return pending.isEmpty() ? sealIfDue(now, time) : storeNext(now);
    }

    /**
     * Takes the news that the segment being stored may not be safe; it will be stored again.
     *
     * @param now the present point
     */
    public void failed(MonotonicTime now) {
        storing = false;
        retryAt = now.plus(limits.retryPause());
    }

    /**
     * Closes the ledger: what is open is sealed, and the last segment says that nothing follows.
     *
     * @param now the present point
     * @param time the present wall-clock time
     * @return what to do
     */
    public List<LedgerEffect> finish(MonotonicTime now, Instant time) {
        if (!finished) {
            finished = true;
            seal(time, true);
        }
        return storeNext(now);
    }

    /**
     * Tells whether everything recorded is safe.
     *
     * @return true if nothing is open or waiting to be stored
     */
    public boolean isFlushed() {
        return pending.isEmpty() && open.isEmpty() && counts.isEmpty();
    }

    /**
     * Tells how many lines are held in memory.
     *
     * @return the number
     */
    public int heldLines() {
        return pendingLines + open.size();
    }

    private List<LedgerEffect> sealIfDue(MonotonicTime now, Instant time) {
        if (!pending.isEmpty() || openSince == null) {
            return List.of();
        }
        boolean old = now.since(openSince).compareTo(limits.segmentAge()) >= 0;
        if (!old && open.size() < limits.segmentLines()) {
            return List.of();
        }
        seal(time, false);
        return storeNext(now);
    }

    /** Moves all that is open into segments; only the last of them is marked as the last one. */
    private void seal(Instant time, boolean last) {
        int from = 0;
        while (open.size() - from > limits.segmentLines()) {
            add(time, false, open.subList(from, from + limits.segmentLines()), List.of());
            from += limits.segmentLines();
        }
        List<LedgerCount> counted = counts.entrySet().stream()
                .map(e -> new LedgerCount(e.getKey(), e.getValue()))
                .toList();
        add(time, last, open.subList(from, open.size()), counted);
        open = new ArrayList<>();
        counts.clear();
        openSince = null;
    }

    private void add(Instant time, boolean last, List<LedgerLine> lines, List<LedgerCount> counted) {
        LedgerSegment s = new LedgerSegment(self, nextNumber, time, sealedRequests, unrecorded, last, lines, counted);
        pending.addLast(s);
        pendingLines += lines.size();
        sealedRequests += s.requests();
        nextNumber++;
    }

    private List<LedgerEffect> storeNext(MonotonicTime now) {
        boolean pausing = retryAt != null && now.isBefore(retryAt);
        if (storing || pausing || pending.isEmpty()) {
            return List.of();
        }
        storing = true;
        LedgerSegment next = pending.getFirst();
        return List.of(new LedgerEffect.Store(LedgerNames.of(next), next));
    }
}
