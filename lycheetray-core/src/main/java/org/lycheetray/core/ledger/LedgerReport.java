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
 * Adds up segments and finds what is missing.
 *
 * <p>Segments may be added in any order, each once. Used by one thread.
 */
public final class LedgerReport {
    private static final Comparator<Incarnation> BY_START =
            Comparator.comparing(Incarnation::vm).thenComparingLong(Incarnation::number);

    private final Instant from;
    private final Instant to;
    private final LedgerPeriod period;
    private final NavigableMap<Incarnation, NavigableMap<Long, Extent>> extents = new TreeMap<>(BY_START);
    private final Map<TotalKey, Tally> tallies = new TreeMap<>();

    /**
     * Creates an empty report.
     *
     * @param from start of the time reported on
     * @param to its end, excluded
     * @param period length for which totals are formed
     */
    public LedgerReport(Instant from, Instant to, LedgerPeriod period) {
        this.from = from;
        this.to = to;
        this.period = period;
    }

    /**
     * Adds a segment.
     *
     * <p>Requests that are only counted belong to the hour in which they arrived; they are included if that hour's
     * start is in the time reported on.
     *
     * @param s the segment
     */
    public void add(LedgerSegment s) {
        Extent extent = new Extent(s.before(), s.requests(), s.unrecorded(), s.last(), s.sealedAt());
        Extent earlier =
                extents.computeIfAbsent(s.incarnation(), _ -> new TreeMap<>()).putIfAbsent(s.number(), extent);
        if (earlier != null) {
            throw new IllegalArgumentException(
                    "segment %d of %s was added before".formatted(s.number(), s.incarnation()));
        }
        for (LedgerLine line : s.lines()) {
            count(line.time(), LedgerKey.of(line), 1);
        }
        for (LedgerCount c : s.counts()) {
            count(c.key().hour(), c.key(), c.requests());
        }
    }

    /**
     * Gives the totals.
     *
     * <p>A period that began before the time reported on is shown with that time's start.
     *
     * @return totals by period, then by client account; requests without client account come first in each period
     */
    public List<LedgerTotal> totals() {
        return tallies.entrySet().stream()
                .map(e -> e.getValue().toTotal(e.getKey()))
                .toList();
    }

    /**
     * Gives what is missing, whether or not it falls into the time reported on.
     *
     * @param listedFrom start of the time from which all segments that exist were added
     * @return the gaps by VM, process and number
     */
    public List<LedgerGap> gaps(Instant listedFrom) {
        List<LedgerGap> gaps = new ArrayList<>();
        extents.forEach((incarnation, segments) -> {
            boolean wholeLife = !Instant.ofEpochMilli(incarnation.number()).isBefore(listedFrom);
            addMissing(gaps, incarnation, segments, wholeLife);
            addUnrecorded(gaps, incarnation, segments, wholeLife);
            addEnd(gaps, incarnation, segments);
        });
        return List.copyOf(gaps);
    }

    private void count(Instant time, LedgerKey key, long requests) {
        if (time.isBefore(from) || !time.isBefore(to)) {
            return;
        }
        Instant start = period.start(time);
        TotalKey total = new TotalKey(
                start.isBefore(from) ? from : start,
                key.account().map(ClientAccountName::value).orElse(""));
        tallies.computeIfAbsent(total, _ -> new Tally(key.account())).add(key, requests);
    }

    private static void addMissing(
            List<LedgerGap> gaps, Incarnation incarnation, NavigableMap<Long, Extent> segments, boolean wholeLife) {
        long expected = wholeLife ? 0 : segments.firstKey();
        long counted = wholeLife ? 0 : segments.firstEntry().getValue().before();
        Instant since = Instant.ofEpochMilli(incarnation.number());
        for (Map.Entry<Long, Extent> e : segments.entrySet()) {
            Extent x = e.getValue();
            if (e.getKey() > expected) {
                gaps.add(new LedgerGap(
                        LedgerGap.Kind.MISSING,
                        incarnation,
                        expected,
                        OptionalLong.of(x.before() - counted),
                        since,
                        x.sealedAt()));
            }
            expected = e.getKey() + 1;
            counted = x.before() + x.requests();
            since = x.sealedAt();
        }
    }

    private static void addUnrecorded(
            List<LedgerGap> gaps, Incarnation incarnation, NavigableMap<Long, Extent> segments, boolean wholeLife) {
        long known = wholeLife ? 0 : segments.firstEntry().getValue().unrecorded();
        Instant since = Instant.ofEpochMilli(incarnation.number());
        for (Map.Entry<Long, Extent> e : segments.entrySet()) {
            Extent x = e.getValue();
            if (x.unrecorded() > known) {
                OptionalLong requests = OptionalLong.of(x.unrecorded() - known);
                gaps.add(new LedgerGap(
                        LedgerGap.Kind.UNRECORDED, incarnation, e.getKey(), requests, since, x.sealedAt()));
            }
            known = x.unrecorded();
            since = x.sealedAt();
        }
    }

    private void addEnd(List<LedgerGap> gaps, Incarnation incarnation, NavigableMap<Long, Extent> segments) {
        Map.Entry<Long, Extent> end = segments.lastEntry();
        if (end.getValue().last()) {
            return;
        }
        Optional<Incarnation> successor =
                Optional.ofNullable(extents.higherKey(incarnation)).filter(sameVm(incarnation));
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

    /** What one segment covers. */
    private record Extent(long before, long requests, long unrecorded, boolean last, Instant sealedAt) {}

    /** Order of totals; an empty account sorts first. */
    private record TotalKey(Instant period, String account) implements Comparable<TotalKey> {
        private static final Comparator<TotalKey> ORDER =
                Comparator.comparing(TotalKey::period).thenComparing(TotalKey::account);

        @Override
        public int compareTo(TotalKey o) {
            return ORDER.compare(this, o);
        }
    }

    /** Running totals. */
    private static final class Tally {
        private final Optional<ClientAccountName> account;
        private final SortedMap<String, Long> reasons = new TreeMap<>();
        private long answered;
        private long notRun;
        private long unknown;

        Tally(Optional<ClientAccountName> account) {
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
