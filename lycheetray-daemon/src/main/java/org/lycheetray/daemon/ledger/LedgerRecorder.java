package org.lycheetray.daemon.ledger;

import java.time.Duration;
import java.util.List;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.lycheetray.core.ledger.LedgerCodec;
import org.lycheetray.core.ledger.LedgerEffect;
import org.lycheetray.core.ledger.LedgerLimits;
import org.lycheetray.core.ledger.LedgerLine;
import org.lycheetray.core.ledger.LedgerWriter;
import org.lycheetray.core.model.Incarnation;
import org.lycheetray.core.time.Clock;
import org.lycheetray.daemon.control.ControlThread;
import org.lycheetray.daemon.log.LogEvent;
import org.lycheetray.daemon.metrics.FleetMetrics;
import org.lycheetray.daemon.request.FinishedRequest;
import org.lycheetray.daemon.request.RequestObserver;
import org.lycheetray.platform.ObjectStore;
import org.lycheetray.platform.PutResult;
import reactor.core.Disposable;
import reactor.core.publisher.Mono;
import reactor.core.scheduler.Schedulers;

/**
 * Takes finished requests from the event loops and stores their lines.
 *
 * <p>Event loops put lines into a bounded queue and never wait; lines that find it full are counted as not recorded, so
 * that reports show them. The control thread moves lines to the {@link LedgerWriter}; segments are encoded on another
 * thread.
 */
public final class LedgerRecorder implements RequestObserver, AutoCloseable {
    private static final int QUEUED_LINES = 20_000;
    private static final Duration DRAIN_PERIOD = Duration.ofMillis(50);
    private static final Duration FLUSH_LIMIT = Duration.ofSeconds(10);

    private final LedgerWriter writer;
    private final ObjectStore objects;
    private final ControlThread control;
    private final Clock clock;
    private final BlockingQueue<LedgerLine> queue = new ArrayBlockingQueue<>(QUEUED_LINES);
    private final AtomicLong notQueued = new AtomicLong();
    private final AtomicLong unrecorded = new AtomicLong();
    private final AtomicLong storeFailures = new AtomicLong();
    private final CountDownLatch flushed = new CountDownLatch(1);
    private final Disposable draining;
    private volatile int heldLines;
    private boolean finishing;

    private LedgerRecorder(
            Incarnation self, LedgerLimits limits, ObjectStore objects, ControlThread control, Clock clock) {
        this.writer = new LedgerWriter(self, limits);
        this.objects = objects;
        this.control = control;
        this.clock = clock;
        control.execute("open-ledger", () -> perform(writer.start(clock.monotonic(), clock.instant())));
        this.draining = control.every("write-ledger", DRAIN_PERIOD, this::drain);
    }

    /**
     * Opens the ledger of a process.
     *
     * @param self the process
     * @param limits sizes and times
     * @param objects where segments are stored
     * @param control thread that decides
     * @param clock clock of the process
     * @return the open ledger
     */
    public static LedgerRecorder create(
            Incarnation self, LedgerLimits limits, ObjectStore objects, ControlThread control, Clock clock) {
        return new LedgerRecorder(self, limits, objects, control, clock);
    }

    @Override
    public void finished(FinishedRequest r) {
        if (!queue.offer(toLine(r))) {
            notQueued.incrementAndGet();
            unrecorded.incrementAndGet();
        }
    }

    /**
     * Shows the ledger's state among the metrics.
     *
     * @param metrics the daemon's metrics
     */
    public void expose(FleetMetrics metrics) {
        metrics.gauge("lycheetray_ledger_held_lines", () -> heldLines);
        metrics.gauge("lycheetray_ledger_unrecorded_total", unrecorded::get);
        metrics.gauge("lycheetray_ledger_store_failures_total", storeFailures::get);
    }

    /**
     * Tells how many lines wait in memory for the object store.
     *
     * @return the number, as of a moment ago
     */
    int heldLines() {
        return heldLines;
    }

    /** Writes everything recorded so far and the last segment; gives up after a limit and logs what was lost. */
    @Override
    public void close() throws InterruptedException {
        control.execute("close-ledger", this::finish);
        boolean safe = flushed.await(FLUSH_LIMIT.toMillis(), TimeUnit.MILLISECONDS);
        draining.dispose();
        if (!safe) {
            LogEvent.of("ledger-not-flushed")
                    .with("step", "close-ledger")
                    .with("lines", heldLines)
                    .error();
        }
    }

    private void drain() {
        writer.addUnrecorded(notQueued.getAndSet(0));
        for (LedgerLine line = queue.poll(); line != null && !finishing; line = queue.poll()) {
            perform(writer.record(line, clock.monotonic(), clock.instant()));
        }
        perform(writer.tick(clock.monotonic(), clock.instant()));
        settle();
    }

    private void finish() {
        drain();
        finishing = true;
        perform(writer.finish(clock.monotonic(), clock.instant()));
        settle();
    }

    private void settle() {
        heldLines = writer.heldLines();
        if (finishing && writer.isFlushed()) {
            flushed.countDown();
        }
    }

    private void perform(List<LedgerEffect> effects) {
        for (LedgerEffect e : effects) {
            switch (e) {
                case LedgerEffect.Store s -> store(s);
            }
        }
    }

    private void store(LedgerEffect.Store s) {
        Disposable _ = Mono.fromCallable(() -> LedgerCodec.encode(s.segment()))
                .subscribeOn(Schedulers.boundedElastic())
                .flatMap(bytes -> objects.putIfAbsent(s.name(), bytes))
                .publishOn(control.scheduler())
                .subscribe(r -> stored(s, r), e -> failed(s, e));
    }

    private void stored(LedgerEffect.Store s, PutResult r) {
        if (r == PutResult.TAKEN) {
            failed(s, new IllegalStateException("another process wrote an object of this name"));
            return;
        }
        perform(writer.segmentStored(clock.monotonic(), clock.instant()));
        settle();
    }

    private void failed(LedgerEffect.Store s, Throwable e) {
        storeFailures.incrementAndGet();
        writer.storeFailed(clock.monotonic());
        LogEvent.of("ledger-store-failed")
                .with("step", "store-segment")
                .with("object", s.name())
                .with("cause", e)
                .warn();
    }

    private static LedgerLine toLine(FinishedRequest r) {
        return new LedgerLine(
                r.time(),
                r.id(),
                r.account(),
                r.route(),
                r.region(),
                r.outcome(),
                r.reason(),
                r.config(),
                r.server(),
                r.attempts(),
                r.status());
    }
}
