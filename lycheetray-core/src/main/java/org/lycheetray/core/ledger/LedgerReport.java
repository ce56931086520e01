package org.lycheetray.core.ledger;

import java.time.Instant;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.NavigableMap;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.SortedMap;
import java.util.TreeMap;
import java.util.function.Predicate;
import org.lycheetray.core.model.ClientAccountName;
import org.lycheetray.core.model.Incarnation;
import org.lycheetray.core.model.Outcome;

/**
 * Aggregates segments into totals and detects gaps.
 *
 * <p>Segments may be added in any order, each once. Not thread-safe.
 */
public final class LedgerReport {
    private static final Comparator<Incarnation> BY_VM_AND_INCARNATION =
            Comparator.comparing(Incarnation::vm).thenComparingLong(Incarnation::number);

    private final Instant from;
    private final Instant to;
    private final LedgerPeriod period;
    private final NavigableMap<Incarnation, NavigableMap<Long, SegmentInfo>> segmentsByIncarnation =
            new TreeMap<>(BY_VM_AND_INCARNATION);
    private final Map<TotalKey, RunningTotal> runningTotals = new TreeMap<>();

    /**
     * Creates an empty report.
     *
     * @param from start of the report interval
     * @param to end of the report interval, exclusive
     * @param period length of the periods for which totals are computed
     */
    public LedgerReport(Instant from, Instant to, LedgerPeriod period) {
        this.from = from;
        this.to = to;
        this.period = period;
    }

    /**
     * Adds a segment.
     *
     * <p>Requests that were only counted are included if the start of the hour in which they arrived lies in the report
     * interval.
     *
     * @param s the segment
     */
    public void add(LedgerSegment s) {
        SegmentInfo info =
                new SegmentInfo(s.precedingRequests(), s.requests(), s.unrecordedRequests(), s.last(), s.sealedAt());
        SegmentInfo existing = segmentsByIncarnation
                .computeIfAbsent(s.incarnation(), _ -> new TreeMap<>())
                .putIfAbsent(s.number(), info);
        if (existing != null) {
            throw new IllegalArgumentException(
                    "duplicate ledger segment %d of %s".formatted(s.number(), s.incarnation()));
        }
        for (LedgerLine line : s.lines()) {
            addToTotal(line.time(), LedgerKey.of(line), 1);
        }
        for (LedgerCount c : s.counts()) {
            addToTotal(c.key().hour(), c.key(), c.requests());
        }
    }

    /**
     * Returns the totals.
     *
     * <p>A period that began before the report interval is listed with the start of the interval.
     *
     * @return totals sorted by period, then by client account; requests without a client account come first in each
     *     period
     */
    public List<LedgerTotal> totals() {
        return runningTotals.entrySet().stream()
                .map(e -> e.getValue().toTotal(e.getKey()))
                .toList();
    }

    /**
     * Returns the gaps, whether or not they lie in the report interval.
     *
     * @param listedFrom time from which on all stored segments have been added
     * @return the gaps, sorted by VM and incarnation
     */
    public List<LedgerGap> gaps(Instant listedFrom) {
        List<LedgerGap> gaps = new ArrayList<>();
        segmentsByIncarnation.forEach((incarnation, segments) -> {
            boolean isCompleteFromStart =
                    !Instant.ofEpochMilli(incarnation.number()).isBefore(listedFrom);
            addMissing(gaps, incarnation, segments, isCompleteFromStart);
            addUnrecorded(gaps, incarnation, segments, isCompleteFromStart);
            addMissingEnd(gaps, incarnation, segments);
        });
        return List.copyOf(gaps);
    }

    private void addToTotal(Instant time, LedgerKey key, long requests) {
        if (time.isBefore(from) || !time.isBefore(to)) {
            return;
        }
        Instant start = period.start(time);
        TotalKey total = new TotalKey(
                start.isBefore(from) ? from : start,
                key.account().map(ClientAccountName::value).orElse(""));
        runningTotals
                .computeIfAbsent(total, _ -> new RunningTotal(key.account()))
                .add(key, requests);
    }

    private static void addMissing(
            List<LedgerGap> gaps,
            Incarnation incarnation,
            NavigableMap<Long, SegmentInfo> segments,
            boolean isCompleteFromStart) {
        long expected = isCompleteFromStart ? 0 : segments.firstKey();
        long counted =
                isCompleteFromStart ? 0 : segments.firstEntry().getValue().before();
        Instant previousSealedAt = Instant.ofEpochMilli(incarnation.number());
        for (Map.Entry<Long, SegmentInfo> e : segments.entrySet()) {
            SegmentInfo x = e.getValue();
            if (e.getKey() > expected) {
                gaps.add(new LedgerGap(
                        LedgerGap.Kind.MISSING,
                        incarnation,
                        expected,
                        OptionalLong.of(x.before() - counted),
                        previousSealedAt,
                        x.sealedAt()));
            }
            expected = e.getKey() + 1;
            counted = x.before() + x.requests();
            previousSealedAt = x.sealedAt();
        }
    }

    private static void addUnrecorded(
            List<LedgerGap> gaps,
            Incarnation incarnation,
            NavigableMap<Long, SegmentInfo> segments,
            boolean isCompleteFromStart) {
        long known = isCompleteFromStart ? 0 : segments.firstEntry().getValue().unrecorded();
        Instant previousSealedAt = Instant.ofEpochMilli(incarnation.number());
        for (Map.Entry<Long, SegmentInfo> e : segments.entrySet()) {
            SegmentInfo x = e.getValue();
            if (x.unrecorded() > known) {
                OptionalLong requests = OptionalLong.of(x.unrecorded() - known);
                gaps.add(new LedgerGap(
                        LedgerGap.Kind.UNRECORDED, incarnation, e.getKey(), requests, previousSealedAt, x.sealedAt()));
            }
            known = x.unrecorded();
            previousSealedAt = x.sealedAt();
        }
    }

    private void addMissingEnd(
            List<LedgerGap> gaps, Incarnation incarnation, NavigableMap<Long, SegmentInfo> segments) {
        Map.Entry<Long, SegmentInfo> end = segments.lastEntry();
        if (end.getValue().last()) {
            return;
        }
        Optional<Incarnation> successor = Optional.ofNullable(segmentsByIncarnation.higherKey(incarnation))
                .filter(sameVm(incarnation));
        gaps.add(new LedgerGap(
                successor.isPresent() ? LedgerGap.Kind.UNFINISHED : LedgerGap.Kind.OPEN,
                incarnation,
                end.getKey() + 1,
                OptionalLong.empty(),
                end.getValue().sealedAt(),
                successor.map(s -> Instant.ofEpochMilli(s.number())).orElse(Instant.MAX)));
    }

    private static Predicate<Incarnation> sameVm(Incarnation incarnation) {
        return i -> i.vm().equals(incarnation.vm());
    }

    /** Request counts and position data of one segment. */
    private record SegmentInfo(long before, long requests, long unrecorded, boolean last, Instant sealedAt) {}

    /** Sort key of totals; an empty account sorts first. */
    private record TotalKey(Instant period, String account) implements Comparable<TotalKey> {
        private static final Comparator<TotalKey> ORDER =
                Comparator.comparing(TotalKey::period).thenComparing(TotalKey::account);

        @Override
        public int compareTo(TotalKey o) {
            return ORDER.compare(this, o);
        }
    }

    /** Running totals. */
    private static final class RunningTotal {
        private final Optional<ClientAccountName> account;
        private final SortedMap<String, Long> reasons = new TreeMap<>();
        private long answered;
        private long notRun;
        private long unknown;

        RunningTotal(Optional<ClientAccountName> account) {
            this.account = account;
        }

        void add(LedgerKey key, long requests) {
            reasons.merge(key.reason(), requests, Long::sum);
            switch (key.outcome()) {
                case Outcome.ANSWERED -> answered += requests;
                case Outcome.NOT_RUN -> notRun += requests;
                case Outcome.UNKNOWN -> unknown += requests;
            }
        }

        LedgerTotal toTotal(TotalKey key) {
            long requests = answered + notRun + unknown;
            return new LedgerTotal(account, key.period(), requests, answered, notRun, unknown, reasons);
        }
    }
}
