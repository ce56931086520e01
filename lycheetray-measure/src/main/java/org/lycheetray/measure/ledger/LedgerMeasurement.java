package org.lycheetray.measure.ledger;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Random;
import org.lycheetray.core.ledger.LedgerCodec;
import org.lycheetray.core.ledger.LedgerEffect;
import org.lycheetray.core.ledger.LedgerGap;
import org.lycheetray.core.ledger.LedgerLimits;
import org.lycheetray.core.ledger.LedgerPeriod;
import org.lycheetray.core.ledger.LedgerReport;
import org.lycheetray.core.ledger.LedgerTotal;
import org.lycheetray.core.ledger.LedgerWriter;
import org.lycheetray.core.model.Incarnation;
import org.lycheetray.core.model.VmName;
import org.lycheetray.core.time.MonotonicTime;
import org.lycheetray.measure.Figures;
import org.lycheetray.measure.MeasureOptions;
import org.lycheetray.measure.Measurement;

/**
 * Runs one VM's ledger over simulated time, with a store that fails and goes down for a while, and adds it up.
 *
 * <p>Requests arrive at {@value #REQUESTS_PER_SECOND} a second; processor time is that of this thread.
 */
public final class LedgerMeasurement implements Measurement {
    private static final int REQUESTS_PER_SECOND = 1_000;
    private static final int SECONDS = 600;
    private static final int QUICK_SECONDS = 120;
    private static final Duration STORE_TIME = Duration.ofMillis(20);
    private static final double FAILING_SHARE = 0.05;
    private static final double MAX_HELD_MB = 32;
    private static final double MAX_DIFFERENCE = 0;
    private static final double BYTES_PER_MB = 1 << 20;
    private static final double NANOS_PER_SECOND = 1e9;
    private static final Instant START = Instant.parse("2026-12-04T05:00:00Z");
    private static final Incarnation SELF = new Incarnation(new VmName("vm-1"), START.toEpochMilli());

    @Override
    public String name() {
        return "ledger";
    }

    @Override
    public void run(MeasureOptions options, Figures figures) {
        int seconds = options.quick() ? QUICK_SECONDS : SECONDS;
        new Simulation(new Random(options.seed()), seconds).run();
        Simulation s = new Simulation(new Random(options.seed()), seconds);
        long nanos = s.run();
        figures.add("ledger-requests", (double) s.requests, "requests");
        figures.add("ledger-lines-written", s.requests / (nanos / NANOS_PER_SECOND), "lines/s");
        figures.add("ledger-core-share-at-1000-per-s", nanos / NANOS_PER_SECOND / seconds * 100, "percent");
        figures.add("ledger-bytes-per-line", (double) s.bytes() / Math.max(1, s.lines), "bytes");
        figures.add("ledger-objects", (double) s.stored.size() / seconds, "writes/s");
        figures.add("ledger-lines-counted-only", (double) (s.requests - s.lines), "requests");
        addUp(s, figures);
        figures.atMost("ledger-held-memory", heldMegabytes(), "MB", MAX_HELD_MB);
    }

    private static void addUp(Simulation s, Figures figures) {
        long start = System.nanoTime();
        LedgerReport report = new LedgerReport(START, Instant.MAX, LedgerPeriod.ALL);
        s.stored.forEach(bytes -> report.add(LedgerCodec.decode(bytes).get()));
        long total = report.totals().stream().mapToLong(LedgerTotal::requests).sum();
        double seconds = (System.nanoTime() - start) / NANOS_PER_SECOND;
        figures.add("ledger-report-speed", s.requests / seconds, "lines/s");
        figures.atMost(
                "ledger-difference-to-plain-sum", (double) Math.abs(total - s.requests), "requests", MAX_DIFFERENCE);
        List<LedgerGap> gaps = report.gaps(START);
        figures.atMost("ledger-gaps-after-planned-stop", gaps.size(), "gaps", MAX_DIFFERENCE);
    }

    /** Fills a writer whose store is down and weighs it. */
    private static double heldMegabytes() {
        LedgerLimits limits = LedgerLimits.standard();
        SampleLines lines = new SampleLines(new Random(1));
        LedgerWriter writer = new LedgerWriter(SELF, limits);
        List<LedgerEffect> ignored = new ArrayList<>(writer.start(MonotonicTime.ZERO, START));
        long before = usedBytes();
        for (int i = 0; i < limits.maxHeldLines(); i++) {
            ignored.addAll(writer.record(lines.next(START), MonotonicTime.ZERO, START));
        }
        long after = usedBytes();
        return writer.heldLines() == 0 ? 0 : (after - before) / BYTES_PER_MB;
    }

    private static long usedBytes() {
        Runtime r = Runtime.getRuntime();
        System.gc();
        return r.totalMemory() - r.freeMemory();
    }

    /** One process's life. */
    private static final class Simulation {
        private final Random random;
        private final int seconds;
        private final SampleLines samples;
        private final LedgerWriter writer = new LedgerWriter(SELF, LedgerLimits.standard());
        private final List<byte[]> stored = new ArrayList<>();
        private final Deque<Store> inFlight = new ArrayDeque<>();
        private MonotonicTime now = MonotonicTime.ZERO;
        private long requests;
        private long lines;

        Simulation(Random random, int seconds) {
            this.random = random;
            this.seconds = seconds;
            this.samples = new SampleLines(random);
        }

        long run() {
            long start = System.nanoTime();
            perform(writer.start(now, wall()));
            for (int i = 0; i < seconds * REQUESTS_PER_SECOND; i++) {
                now = now.plus(Duration.ofSeconds(1).dividedBy(REQUESTS_PER_SECOND));
                perform(writer.record(samples.next(wall()), now, wall()));
                requests++;
                endStore();
                perform(writer.tick(now, wall()));
            }
            perform(writer.finish(now, wall()));
            while (!writer.isFlushed()) {
                now = now.plus(STORE_TIME);
                endStore();
                perform(writer.tick(now, wall()));
            }
            return System.nanoTime() - start;
        }

        long bytes() {
            return stored.stream().mapToLong(b -> b.length).sum();
        }

        private void endStore() {
            if (inFlight.isEmpty() || now.isBefore(inFlight.getFirst().endsAt())) {
                return;
            }
            Store s = inFlight.removeFirst();
            if (isDown() || random.nextDouble() < FAILING_SHARE) {
                writer.storeFailed(now);
                return;
            }
            stored.add(LedgerCodec.encode(s.effect().segment()));
            lines += s.effect().segment().lines().size();
            perform(writer.segmentStored(now, wall()));
        }

        /** The store is down for the middle fifth of the time, longer than memory holds lines for. */
        private boolean isDown() {
            double part = now.nanos() / NANOS_PER_SECOND / seconds;
            return part > 0.4 && part < 0.6;
        }

        private void perform(List<LedgerEffect> effects) {
            for (LedgerEffect e : effects) {
                switch (e) {
                    case LedgerEffect.Store s -> inFlight.addLast(new Store(s, now.plus(STORE_TIME)));
                }
            }
        }

        private Instant wall() {
            return START.plusNanos(now.nanos());
        }

        private record Store(LedgerEffect.Store effect, MonotonicTime endsAt) {}
    }
}
