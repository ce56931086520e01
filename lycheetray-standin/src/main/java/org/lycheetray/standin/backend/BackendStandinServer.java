package org.lycheetray.standin.backend;

import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;
import org.lycheetray.core.model.BackendServer;
import org.lycheetray.core.time.Clock;
import org.lycheetray.core.time.MonotonicTime;
import org.lycheetray.standin.http.JsonHttp;
import reactor.core.publisher.Mono;
import reactor.core.scheduler.Schedulers;
import reactor.netty.DisposableServer;
import reactor.netty.http.server.HttpServer;
import reactor.netty.http.server.HttpServerRequest;
import reactor.netty.http.server.HttpServerResponse;

/** One backend server: accepts, queues, runs, sheds, crashes and goes silent as its faults say. */
final class BackendStandinServer implements AutoCloseable {
    private static final Duration STOP_LIMIT = Duration.ofSeconds(1);
    private static final String CONTROL_PREFIX = "/_standin/";

    private final BackendServer server;
    private final Duration coldStart;
    private final Duration restartTime;
    private final ServiceTimes times;
    private final RunLog runs;
    private final Clock clock;
    private final Control control;
    private final SlotQueue slots;
    private final LoadHistory history = new LoadHistory();
    private final Map<Channel, Boolean> connections = new ConcurrentHashMap<>();
    private final AtomicLong shed = new AtomicLong();
    private final AtomicLong crashes = new AtomicLong();
    private volatile BackendFault fault = BackendFault.none();
    private volatile MonotonicTime warmSince;
    private volatile DisposableServer listener;

    BackendStandinServer(
            BackendServer server,
            Duration coldStart,
            Duration restartTime,
            ServiceTimes times,
            RunLog runs,
            Clock clock,
            Control control) {
        this.server = server;
        this.coldStart = coldStart;
        this.restartTime = restartTime;
        this.times = times;
        this.runs = runs;
        this.clock = clock;
        this.control = control;
        this.slots = new SlotQueue(server.slots(), server.slots());
        this.warmSince = clock.monotonic();
    }

    void start() {
        listener = HttpServer.create()
                .host(server.endpoint().host())
                .port(server.endpoint().port())
                .doOnChannelInit((_, channel, _) -> track(channel))
                .handle(this::handle)
                .bindNow();
    }

    void change(BackendFault change) {
        fault = fault.changedBy(change);
        if (Boolean.TRUE.equals(change.silent())) {
            connections.replaceAll((_, _) -> true);
        }
    }

    Stats stats() {
        SlotQueue.Load load = slots.load();
        return new Stats(
                server.name().value(),
                load.running(),
                load.waiting(),
                load.slots(),
                load.peak(),
                shed.get(),
                crashes.get());
    }

    @Override
    public void close() {
        if (listener != null) {
            listener.disposeNow(STOP_LIMIT);
        }
        closeConnections();
    }

    private void track(Channel channel) {
        connections.put(channel, false);
        channel.closeFuture().addListener(_ -> connections.remove(channel));
    }

    private Mono<Void> handle(HttpServerRequest q, HttpServerResponse p) {
        return Mono.defer(() -> dispatch(q, p))
                .onErrorResume(IllegalArgumentException.class, e -> JsonHttp.problem(p, 400, e.getMessage()));
    }

    private Mono<Void> dispatch(HttpServerRequest q, HttpServerResponse p) {
        Channel channel = JsonHttp.channel(q);
        if (isDead(channel)) {
            return Mono.never();
        }
        if (q.fullPath().startsWith(CONTROL_PREFIX)) {
            return control.handle(this, q, p);
        }
        if (fault.silent()) {
            return Mono.never();
        }
        return switch (q.fullPath()) {
            case "/_health" -> health(p);
            case "/_load" -> load(p);
            default ->
                JsonHttp.body(q).flatMap(body -> accept(new BackendExchange(q, p, channel, body, clock.monotonic())));
        };
    }

    private Mono<Void> health(HttpServerResponse p) {
        boolean healthy = fault.healthLies() || !fault.shed();
        boolean leaving = fault.draining() && !fault.healthLies();
        return JsonHttp.json(p, healthy && !leaving ? 200 : 503, new Health(healthy, leaving));
    }

    private Mono<Void> load(HttpServerResponse p) {
        Duration lag = Duration.ofMillis(fault.loadLagMs());
        SlotQueue.Load l = history.before(clock.monotonic(), lag, slots.load());
        int running = (int) Math.round(l.running() * fault.loadFactor());
        int waiting = (int) Math.round(l.waiting() * fault.loadFactor());
        return JsonHttp.json(p, 200, new LoadReport(running, waiting, l.slots()));
    }

    private Mono<Void> accept(BackendExchange x) {
        if (fault.crashesOn(new String(x.body(), StandardCharsets.UTF_8))) {
            runs.end(log(x), clock.millis(), RunState.CRASHED);
            crash();
            return Mono.never();
        }
        SlotQueue.Ticket ticket = new SlotQueue.Ticket();
        if (fault.shed() || !slots.tryEnter(ticket)) {
            return refuse(x, "no room");
        }
        note();
        return ticket.started()
                .then(Mono.just(true))
                .timeout(x.left(clock.monotonic()), Mono.just(false))
                .flatMap(started -> started ? run(x) : refuse(x, "deadline passed before the start"))
                .takeUntilOther(x.closed())
                .doFinally(_ -> {
                    slots.leave(ticket);
                    note();
                });
    }

    private Mono<Void> refuse(BackendExchange x, String why) {
        shed.incrementAndGet();
        x.response().header(BackendHeaders.NOT_RUN, "1");
        return JsonHttp.problem(x.response(), 503, why);
    }

    private Mono<Void> run(BackendExchange x) {
        Run run = log(x);
        long crashesBefore = crashes.get();
        Duration time = times.draw(server.service(), warmth()).plusMillis(fault.delayMs());
        Duration left = x.left(clock.monotonic());
        boolean inTime = time.compareTo(left) <= 0;
        return Mono.delay(inTime ? time : left)
                .then(Mono.defer(() -> {
                    runs.end(run, clock.millis(), inTime ? RunState.ANSWERED : RunState.DEADLINE);
                    return isDead(x.channel()) ? Mono.<Void>never() : answer(x, inTime);
                }))
                .doOnCancel(() -> runs.endIfRunning(
                        run, clock.millis(), crashes.get() > crashesBefore ? RunState.CRASHED : RunState.CANCELLED));
    }

    private Mono<Void> answer(BackendExchange x, boolean inTime) {
        return inTime ? x.answer(server) : JsonHttp.problem(x.response(), 504, "deadline passed during the run");
    }

    private Run log(BackendExchange x) {
        return runs.add(x.toRun(server, clock.millis()));
    }

    private void note() {
        history.add(clock.monotonic(), slots.load());
    }

    private boolean isDead(Channel channel) {
        return connections.getOrDefault(channel, true);
    }

    private double warmth() {
        return coldStart.isZero() || crashes.get() == 0
                ? 1
                : (double) clock.monotonic().since(warmSince).toNanos() / coldStart.toNanos();
    }

    /** Drops all connections and refuses new ones until the restart time has passed. */
    private void crash() {
        crashes.incrementAndGet();
        DisposableServer crashed = listener;
        crashed.dispose();
        closeConnections();
        Mono.delay(restartTime, Schedulers.boundedElastic())
                .then(crashed.onDispose())
                .publishOn(Schedulers.boundedElastic())
                .subscribe(_ -> {}, _ -> {}, this::restart);
    }

    private void closeConnections() {
        for (Channel c : connections.keySet()) {
            ChannelFuture _ = c.close();
        }
    }

    private void restart() {
        warmSince = clock.monotonic();
        start();
    }

    /** Answers paths that all servers share. */
    @FunctionalInterface
    interface Control {
        /** Handles a request that arrived at one of the servers. */
        Mono<Void> handle(BackendStandinServer asked, HttpServerRequest q, HttpServerResponse p);
    }

    /**
     * Health report in JSON.
     *
     * @param healthy false if the server takes nothing at present
     * @param leaving true if it will stop
     */
    record Health(boolean healthy, boolean leaving) {}

    /**
     * Load report in JSON.
     *
     * @param running requests in slots
     * @param waiting requests in the queue
     * @param slots number of slots
     */
    record LoadReport(int running, int waiting, int slots) {}

    /**
     * Counters of one server in JSON.
     *
     * @param server its name
     * @param running requests in slots
     * @param waiting requests in the queue
     * @param slots number of slots
     * @param peak most requests that were in slots and queue together
     * @param shed requests refused as not run
     * @param crashes crashes so far
     */
    record Stats(String server, int running, int waiting, int slots, int peak, long shed, long crashes) {}
}
