package org.lycheetray.core.ledger;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.lycheetray.core.model.ClientAccountName;
import org.lycheetray.core.model.Outcome;
import org.lycheetray.core.time.MonotonicTime;

/** Compares ledger totals with a direct count of the same requests, under store failures, lost segments and crashes. */
class LedgerPropertyTest {
    private static final LedgerLimits LIMITS = new LedgerLimits(4, Duration.ofMillis(50), 12, Duration.ofMillis(30));
    private static final Instant FAR = LedgerLines.START.plus(Duration.ofDays(2));
    private static final List<Outcome> OUTCOMES = List.of(Outcome.ANSWERED, Outcome.NOT_RUN, Outcome.UNKNOWN);
    private static final String[] ACCOUNTS = {"", "members", "web-shop"};

    private final List<LedgerSegment> store = new ArrayList<>();
    private final Map<String, Long> expected = new TreeMap<>();
    private LedgerEffect.Store inFlight;
    private MonotonicTime now = MonotonicTime.ZERO;
    private int requests;

    @Property(seed = "20261204", tries = 300)
    void totalsEqualTheDirectCountAfterAnOrderlyStop(@ForAll Random random, @ForAll @IntRange(max = 200) int steps) {
        reset();
        LedgerWriter writer = run(random, steps);
        stop(writer);

        LedgerReport report = report(store);

        assertThat(totals(report)).isEqualTo(expected);
        assertThat(report.gaps(LedgerLines.START)).isEmpty();
    }

    @Property(seed = "20261204", tries = 300)
    void totalsPlusGapsEqualTheDirectCountWhenSegmentsAreLost(
            @ForAll Random random, @ForAll @IntRange(max = 200) int steps) {
        reset();
        stop(run(random, steps));
        List<LedgerSegment> remaining =
                store.stream().filter(s -> s.last() || random.nextBoolean()).toList();

        LedgerReport report = report(remaining);

        long reported =
                totals(report).values().stream().mapToLong(Long::longValue).sum();
        long missing = report.gaps(LedgerLines.START).stream()
                .mapToLong(g -> g.requests().orElseThrow())
                .sum();
        assertThat(reported + missing).isEqualTo(requests);
    }

    @Property(seed = "20261204", tries = 300)
    void crashLosesOnlyTheEndAndReportsItAsOpen(@ForAll Random random, @ForAll @IntRange(max = 200) int steps) {
        reset();
        run(random, steps);

        LedgerReport report = report(store);

        assertThat(report.gaps(LedgerLines.START)).allMatch(g -> g.kind() == LedgerGap.Kind.OPEN);
        assertThat(totals(report).values().stream().mapToLong(Long::longValue).sum())
                .isLessThanOrEqualTo(requests);
    }

    private void reset() {
        store.clear();
        expected.clear();
        inFlight = null;
        now = MonotonicTime.ZERO;
        requests = 0;
    }

    private LedgerWriter run(Random random, int steps) {
        LedgerWriter writer = new LedgerWriter(LedgerLines.INCARNATION, LIMITS);
        perform(writer.start(now, wall()));
        for (int i = 0; i < steps; i++) {
            step(writer, random);
            assertThat(writer.heldLines()).isLessThanOrEqualTo(LIMITS.maxHeldLines());
        }
        return writer;
    }

    private void step(LedgerWriter writer, Random random) {
        now = now.plus(Duration.ofMillis(random.nextInt(20)));
        switch (random.nextInt(6)) {
            case 0 -> perform(writer.tick(now, wall()));
            case 1 -> completeStore(writer, random.nextInt(4) > 0, random.nextBoolean());
            default -> perform(writer.record(next(random), now, wall()));
        }
    }

    private LedgerLine next(Random random) {
        String account = ACCOUNTS[random.nextInt(ACCOUNTS.length)];
        Outcome outcome = OUTCOMES.get(random.nextInt(OUTCOMES.size()));
        expected.merge(account + "/" + outcome, 1L, Long::sum);
        return LedgerLines.line(requests++, account, outcome, wall());
    }

    /** Completes the pending store operation; after a reported failure the object may have been stored nevertheless. */
    private void completeStore(LedgerWriter writer, boolean success, boolean storedDespiteFailure) {
        if (inFlight == null) {
            return;
        }
        LedgerSegment segment =
                LedgerCodec.decode(LedgerCodec.encode(inFlight.segment())).get();
        inFlight = null;
        if ((success || storedDespiteFailure) && !store.contains(segment)) {
            store.add(segment);
        }
        if (success) {
            perform(writer.segmentStored(now, wall()));
        } else {
            writer.storeFailed(now);
        }
    }

    private void stop(LedgerWriter writer) {
        perform(writer.finish(now, wall()));
        while (!writer.isFlushed()) {
            now = now.plus(LIMITS.retryDelay());
            perform(writer.tick(now, wall()));
            completeStore(writer, true, true);
        }
    }

    private void perform(List<LedgerEffect> effects) {
        for (LedgerEffect e : effects) {
            assertThat(inFlight).as("one store at a time").isNull();
            inFlight = (LedgerEffect.Store) e;
        }
    }

    private Instant wall() {
        return LedgerLines.START.plusNanos(now.nanos());
    }

    private static LedgerReport report(List<LedgerSegment> segments) {
        LedgerReport report = new LedgerReport(LedgerLines.START, FAR, LedgerPeriod.ALL);
        segments.forEach(report::add);
        return report;
    }

    private static Map<String, Long> totals(LedgerReport report) {
        Map<String, Long> sums = new TreeMap<>();
        for (LedgerTotal t : report.totals()) {
            String account = t.account().map(ClientAccountName::value).orElse("");
            put(sums, account + "/" + Outcome.ANSWERED, t.answered());
            put(sums, account + "/" + Outcome.NOT_RUN, t.notRun());
            put(sums, account + "/" + Outcome.UNKNOWN, t.unknown());
        }
        return sums;
    }

    private static void put(Map<String, Long> sums, String key, long value) {
        if (value > 0) {
            sums.put(key, value);
        }
    }
}
