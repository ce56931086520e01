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
 * Decides when the lines of one incarnation are sealed into segments and stored.
 *
 * <p>An empty first segment is sealed at the start, so that even an incarnation that crashes immediately is on record.
 * Segments are stored in order, one at a time, so that a crash can lose only the end of the ledger. While the object
 * store is unavailable, lines are held in memory up to a limit. Beyond it, requests are only counted by client account,
 * hour, route class, outcome and reason, so that totals stay correct. Not thread-safe.
 */
public final class LedgerWriter {
    private final Incarnation incarnation;
    private final LedgerLimits limits;
    private final Deque<LedgerSegment> pendingSegments = new ArrayDeque<>();
    private final Map<LedgerKey, Long> counts = new LinkedHashMap<>();
    private List<LedgerLine> openLines = new ArrayList<>();
    private MonotonicTime openSince;
    private MonotonicTime retryAt;
    private boolean storing;
    private boolean finished;
    private long nextNumber;
    private long sealedRequests;
    private long unrecordedRequests;
    private int pendingLines;

    /**
     * Creates a writer; {@link #start} must be called first.
     *
     * @param incarnation incarnation that writes the ledger
     * @param limits limits on segments and memory
     */
    public LedgerWriter(Incarnation incarnation, LedgerLimits limits) {
        this.incarnation = incarnation;
        this.limits = limits;
    }

    /**
     * Opens the ledger and seals its empty first segment.
     *
     * @param now current monotonic time
     * @param time current wall-clock time
     * @return effects to perform
     */
    public List<LedgerEffect> start(MonotonicTime now, Instant time) {
        seal(time, false);
        return storeNext(now);
    }

    /**
     * Records a request that has ended.
     *
     * @param line ledger line of the request
     * @param now current monotonic time
     * @param time current wall-clock time
     * @return effects to perform
     * @throws IllegalStateException if the ledger is closed
     */
    public List<LedgerEffect> record(LedgerLine line, MonotonicTime now, Instant time) {
        if (finished) {
            throw new IllegalStateException("the ledger of %s is closed".formatted(incarnation));
        }
        if (openSince == null) {
            openSince = now;
        }
        if (pendingLines + openLines.size() < limits.maxHeldLines()) {
            openLines.add(line);
        } else {
            counts.merge(LedgerKey.of(line), 1L, Long::sum);
        }
        return sealIfDue(now, time);
    }

    /**
     * Counts requests that ended but could not be recorded, so that reports show them as a gap.
     *
     * @param requests number of requests
     */
    public void addUnrecorded(long requests) {
        unrecordedRequests += requests;
    }

    /**
     * Seals the open lines when due, and retries a failed store operation after the retry delay.
     *
     * @param now current monotonic time
     * @param time current wall-clock time
     * @return effects to perform
     */
    public List<LedgerEffect> tick(MonotonicTime now, Instant time) {
        return pendingSegments.isEmpty() ? sealIfDue(now, time) : storeNext(now);
    }

    /**
     * Confirms that the pending segment was stored.
     *
     * @param now current monotonic time
     * @param time current wall-clock time
     * @return effects to perform
     */
    public List<LedgerEffect> segmentStored(MonotonicTime now, Instant time) {
        pendingLines -= pendingSegments.removeFirst().lines().size();
        storing = false;
        return pendingSegments.isEmpty() ? sealIfDue(now, time) : storeNext(now);
    }

    /**
     * Reports that storing the pending segment failed or has an unknown result; it will be retried.
     *
     * @param now current monotonic time
     */
    public void storeFailed(MonotonicTime now) {
        storing = false;
        retryAt = now.plus(limits.retryDelay());
    }

    /**
     * Closes the ledger: seals the open lines and marks the final segment as the last one.
     *
     * @param now current monotonic time
     * @param time current wall-clock time
     * @return effects to perform
     */
    public List<LedgerEffect> finish(MonotonicTime now, Instant time) {
        if (!finished) {
            finished = true;
            seal(time, true);
        }
        return storeNext(now);
    }

    /**
     * Returns whether everything recorded has been stored.
     *
     * @return true if no lines or counts are unsealed and no segment is pending
     */
    public boolean isFlushed() {
        return pendingSegments.isEmpty() && openLines.isEmpty() && counts.isEmpty();
    }

    /**
     * Returns the number of lines held in memory.
     *
     * @return the number of lines
     */
    public int heldLines() {
        return pendingLines + openLines.size();
    }

    private List<LedgerEffect> sealIfDue(MonotonicTime now, Instant time) {
        if (!pendingSegments.isEmpty() || openSince == null) {
            return List.of();
        }
        boolean tooOld = now.since(openSince).compareTo(limits.maxSegmentAge()) >= 0;
        if (!tooOld && openLines.size() < limits.maxSegmentLines()) {
            return List.of();
        }
        seal(time, false);
        return storeNext(now);
    }

    /** Seals all open lines and counts into segments. The parameter {@code last} applies only to the final one. */
    private void seal(Instant time, boolean last) {
        int from = 0;
        while (openLines.size() - from > limits.maxSegmentLines()) {
            addSegment(time, false, openLines.subList(from, from + limits.maxSegmentLines()), List.of());
            from += limits.maxSegmentLines();
        }
        List<LedgerCount> counted = counts.entrySet().stream()
                .map(e -> new LedgerCount(e.getKey(), e.getValue()))
                .toList();
        addSegment(time, last, openLines.subList(from, openLines.size()), counted);
        openLines = new ArrayList<>();
        counts.clear();
        openSince = null;
    }

    private void addSegment(Instant time, boolean last, List<LedgerLine> lines, List<LedgerCount> counted) {
        LedgerSegment s = new LedgerSegment(
                incarnation, nextNumber, time, sealedRequests, unrecordedRequests, last, lines, counted);
        pendingSegments.addLast(s);
        pendingLines += lines.size();
        sealedRequests += s.requests();
        nextNumber++;
    }

    private List<LedgerEffect> storeNext(MonotonicTime now) {
        boolean waitingForRetry = retryAt != null && now.isBefore(retryAt);
        if (storing || waitingForRetry || pendingSegments.isEmpty()) {
            return List.of();
        }
        storing = true;
        LedgerSegment next = pendingSegments.getFirst();
        return List.of(new LedgerEffect.Store(LedgerNames.of(next), next));
    }
}
