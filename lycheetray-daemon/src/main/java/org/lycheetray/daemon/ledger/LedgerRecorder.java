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
import org.lycheetray.daemon.metrics.DaemonMetrics;
import org.lycheetray.daemon.request.FinishedRequest;
import org.lycheetray.daemon.request.RequestObserver;
import org.lycheetray.platform.ObjectStore;
import org.lycheetray.platform.PutResult;
import reactor.core.Disposable;
import reactor.core.publisher.Mono;
import reactor.core.scheduler.Schedulers;

/**
 * Records finished requests in the ledger.
 *
 * <p>Event loops put ledger lines into a bounded queue and never block. If the queue is full, the line is dropped and
 * counted as unrecorded, so that reports show the loss. The control thread moves lines from the queue to the {@link
 * LedgerWriter}; segments are encoded on another thread.
 */
public final class LedgerRecorder implements RequestObserver, AutoCloseable {
    private static final int MAX_QUEUED_LINES = 20_000;
    private static final Duration DRAIN_PERIOD = Duration.ofMillis(50);
    private static final Duration FLUSH_TIMEOUT = Duration.ofSeconds(10);

    private final LedgerWriter writer;
    private final ObjectStore objects;
    private final ControlThread control;
    private final Clock clock;
    private final BlockingQueue<LedgerLine> queue = new ArrayBlockingQueue<>(MAX_QUEUED_LINES);
    private final AtomicLong droppedSinceDrain = new AtomicLong();
    private final AtomicLong droppedTotal = new AtomicLong();
    private final AtomicLong storeFailures = new AtomicLong();
    private final CountDownLatch flushed = new CountDownLatch(1);
    private final Disposable drainTask;
    private volatile int heldLines;
    private boolean closing;

    private LedgerRecorder(
            Incarnation localIncarnation,
            LedgerLimits limits,
            ObjectStore objects,
            ControlThread control,
            Clock clock) {
        this.writer = new LedgerWriter(localIncarnation, limits);
        this.objects = objects;
        this.control = control;
        this.clock = clock;
        control.execute("open-ledger", () -> perform(writer.start(clock.monotonic(), clock.instant())));
        this.drainTask = control.schedulePeriodically("write-ledger", DRAIN_PERIOD, this::drain);
    }

    /**
     * Opens the ledger of this process.
     *
     * @param localIncarnation incarnation of this process
     * @param limits limits on segments and on lines in memory
     * @param objects store for the segments
     * @param control thread that owns the ledger state
     * @param clock clock of the process
     * @return the open ledger
     */
    public static LedgerRecorder create(
            Incarnation localIncarnation,
            LedgerLimits limits,
            ObjectStore objects,
            ControlThread control,
            Clock clock) {
        return new LedgerRecorder(localIncarnation, limits, objects, control, clock);
    }

    @Override
    public void onRequestFinished(FinishedRequest r) {
        if (!queue.offer(toLine(r))) {
            droppedSinceDrain.incrementAndGet();
            droppedTotal.incrementAndGet();
        }
    }

    /**
     * Registers the metrics of the ledger.
     *
     * @param metrics registry for the gauges
     */
    public void registerMetrics(DaemonMetrics metrics) {
        metrics.registerGauge("lycheetray_ledger_held_lines", () -> heldLines);
        metrics.registerGauge("lycheetray_ledger_unrecorded_total", droppedTotal::get);
        metrics.registerGauge("lycheetray_ledger_store_failures_total", storeFailures::get);
    }

    /**
     * Returns the number of lines in memory that are not in the object store yet.
     *
     * @return the number as of the last update by the control thread
     */
    int heldLines() {
        return heldLines;
    }

    /** Writes all queued lines and the last segment; on time-out, logs the number of lines that were not stored. */
    @Override
    public void close() throws InterruptedException {
        control.execute("close-ledger", this::drainAndClose);
        boolean complete = flushed.await(FLUSH_TIMEOUT.toMillis(), TimeUnit.MILLISECONDS);
        drainTask.dispose();
        if (!complete) {
            LogEvent.of("ledger-not-flushed")
                    .with("step", "close-ledger")
                    .with("lines", heldLines)
                    .error();
        }
    }

    private void drain() {
        writer.addUnrecorded(droppedSinceDrain.getAndSet(0));
        for (LedgerLine line = queue.poll(); line != null && !closing; line = queue.poll()) {
            perform(writer.record(line, clock.monotonic(), clock.instant()));
        }
        perform(writer.tick(clock.monotonic(), clock.instant()));
        updateFlushState();
    }

    private void drainAndClose() {
        drain();
        closing = true;
        perform(writer.finish(clock.monotonic(), clock.instant()));
        updateFlushState();
    }

    private void updateFlushState() {
        heldLines = writer.heldLines();
        if (closing && writer.isFlushed()) {
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
                .subscribe(r -> handleStored(s, r), e -> handleStoreFailure(s, e));
    }

    private void handleStored(LedgerEffect.Store s, PutResult r) {
        if (r == PutResult.TAKEN) {
            handleStoreFailure(s, new IllegalStateException("object of this name already exists with other content"));
            return;
        }
        perform(writer.segmentStored(clock.monotonic(), clock.instant()));
        updateFlushState();
    }

    private void handleStoreFailure(LedgerEffect.Store s, Throwable e) {
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
                r.receivedAt(),
                r.id(),
                r.account(),
                r.route(),
                r.region(),
                r.outcome(),
                r.reason(),
                r.configVersion(),
                r.server(),
                r.attempts(),
                r.status());
    }
}
