package org.lycheetray.measure.load;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpResponseStatus;
import java.time.Duration;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.HdrHistogram.ConcurrentHistogram;
import org.HdrHistogram.Histogram;
import reactor.core.Disposable;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;
import reactor.core.scheduler.Schedulers;
import reactor.netty.http.client.HttpClient;
import reactor.netty.resources.ConnectionProvider;

/** Sends requests over a fixed number of connections, as fast as they are answered or at a fixed rate. */
public final class LoadClient implements AutoCloseable {
    private static final Duration TIMEOUT = Duration.ofSeconds(5);
    private static final Duration TICK = Duration.ofMillis(1);
    private static final long MAX_NANOS = 60_000_000_000L;
    private static final double NANOS_PER_SECOND = 1e9;
    private static final int MAX_PENDING = 100_000;

    private final ConnectionProvider connections;
    private final HttpClient http;

    /** Counts and latencies of a run in progress. */
    private static final class Run {
        private final Histogram latency = new ConcurrentHistogram(MAX_NANOS, 3);
        private final AtomicLong answered = new AtomicLong();
        private final AtomicLong failed = new AtomicLong();
        private final long start = System.nanoTime();

        LoadResult result() {
            double seconds = (System.nanoTime() - start) / NANOS_PER_SECOND;
            return new LoadResult(latency.copy(), answered.get(), failed.get(), seconds);
        }
    }

    /**
     * Creates a client.
     *
     * @param connections connections to each target
     */
    public LoadClient(int connections) {
        this.connections = ConnectionProvider.builder("load")
                .maxConnections(connections)
                .pendingAcquireMaxCount(MAX_PENDING)
                .build();
        this.http = HttpClient.create(this.connections).responseTimeout(TIMEOUT).disableRetry(true);
    }

    /**
     * Keeps a number of requests in progress for a while.
     *
     * @param target where to send
     * @param concurrency requests in progress at one time
     * @param length length of the run
     * @return what was seen
     */
    public LoadResult closedLoop(LoadTarget target, int concurrency, Duration length) {
        Run run = new Run();
        long end = run.start + length.toNanos();
        Flux.range(0, concurrency)
                .flatMap(
                        i -> Mono.defer(() -> once(target, run, System.nanoTime()))
                                .repeat(() -> System.nanoTime() < end),
                        concurrency)
                .blockLast();
        return run.result();
    }

    /**
     * Starts requests at a fixed rate, whether or not earlier ones were answered.
     *
     * @param target where to send
     * @param perSecond requests a second
     * @param length length of the run
     * @return what was seen; latency counts from the intended start
     * @throws InterruptedException if the waiting thread is interrupted
     */
    public LoadResult openLoop(LoadTarget target, double perSecond, Duration length) throws InterruptedException {
        Run run = new Run();
        long total = (long) (perSecond * length.toNanos() / NANOS_PER_SECOND);
        CountDownLatch left = new CountDownLatch((int) total);
        AtomicLong started = new AtomicLong();
        Disposable ticks = Schedulers.parallel()
                .schedulePeriodically(
                        () -> startDue(target, run, perSecond, total, started, left),
                        0,
                        TICK.toMillis(),
                        TimeUnit.MILLISECONDS);
        try {
            left.await();
        } finally {
            ticks.dispose();
        }
        return run.result();
    }

    /** Starts what is due; a subscription each, since a shared operator would search all of them at each answer. */
    private void startDue(
            LoadTarget target, Run run, double perSecond, long total, AtomicLong started, CountDownLatch left) {
        double gap = NANOS_PER_SECOND / perSecond;
        long due = Math.min(total, (long) ((System.nanoTime() - run.start) / gap) + 1);
        while (started.get() < due) {
            long start = run.start + (long) (started.getAndIncrement() * gap);
            once(target, run, start).doFinally(signal -> left.countDown()).subscribe();
        }
    }

    private Mono<Void> once(LoadTarget target, Run run, long start) {
        return http.headers(h -> target.key().ifPresent(k -> h.set(HttpHeaderNames.AUTHORIZATION, "Bearer " + k)))
                .get()
                .uri(target.baseUrl() + target.path())
                .responseSingle((res, body) -> body.asByteArray().thenReturn(res.status()))
                .doOnNext(status -> answered(run, status, start))
                .doOnError(e -> run.failed.incrementAndGet())
                .onErrorComplete()
                .then();
    }

    private static void answered(Run run, HttpResponseStatus status, long start) {
        if (!status.equals(HttpResponseStatus.OK)) {
            run.failed.incrementAndGet();
            return;
        }
        run.answered.incrementAndGet();
        run.latency.recordValue(Math.min(MAX_NANOS, System.nanoTime() - start));
    }

    @Override
    public void close() {
        connections.dispose();
    }
}
