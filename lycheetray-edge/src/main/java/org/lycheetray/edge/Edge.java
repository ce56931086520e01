package org.lycheetray.edge;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.random.RandomGenerator;
import org.lycheetray.core.fleet.FleetMember;
import org.lycheetray.core.fleet.FleetView;
import org.lycheetray.core.fleet.ReportSchedule;
import org.lycheetray.core.model.Endpoint;
import org.lycheetray.core.model.RegionName;
import org.lycheetray.core.time.Clock;
import org.lycheetray.core.time.MonotonicTime;
import org.lycheetray.core.traffic.ClientLimits;
import org.lycheetray.core.traffic.TrafficConfig;
import org.lycheetray.core.traffic.TrafficRoute;
import org.lycheetray.daemon.lifecycle.Closer;
import org.lycheetray.daemon.lifecycle.Lifecycle;
import org.lycheetray.daemon.lifecycle.Phase;
import org.lycheetray.daemon.log.LogEvent;
import org.lycheetray.daemon.request.Body;
import org.lycheetray.edge.backend.BackendClient;
import org.lycheetray.edge.dialect.LookupDialect;
import org.lycheetray.edge.exchange.ExchangeParts;
import org.lycheetray.edge.exchange.Exchanges;
import org.lycheetray.edge.exchange.Steering;
import org.lycheetray.edge.fleet.Enrolment;
import org.lycheetray.edge.front.BodyBudget;
import org.lycheetray.edge.front.Front;
import org.lycheetray.edge.front.FrontParts;
import org.lycheetray.edge.front.SmallPages;
import org.lycheetray.edge.log.RequestLog;
import org.lycheetray.edge.settings.EdgeSettings;
import org.lycheetray.edge.store.FleetStore;
import org.lycheetray.edge.store.StoreFollower;

/** One running entry VM whose backend servers register themselves, from start to planned stop. */
public final class Edge implements AutoCloseable {
    /** How long callers may keep a look-up's answer: a VM that has left is named no longer than this. */
    private static final Duration LOOKUP_TTL = Duration.ofSeconds(2);

    /** Pause between looks at what time alone changes. */
    private static final Duration TICK = Duration.ofMillis(25);

    private static final Duration SWEEP = Duration.ofMillis(500);

    /** Part of the process's memory that request bodies may use. */
    private static final int BODY_MEMORY_SHARE = 8;

    /** Time after the request to stop in which new requests are still served: callers learn of it by look-ups. */
    private static final Duration SERVE_ON = Duration.ofMillis(2_600);

    /** Part of the grace period after which remaining requests are abandoned. */
    private static final double STOP_SHARE = 0.92;

    private static final Duration POLL = Duration.ofMillis(20);

    private final EdgeSettings settings;
    private final EdgeAdapter adapter;
    private final Clock clock;
    private final Closer closer = new Closer();
    private final Lifecycle lifecycle = new Lifecycle();
    private final Transport transport;
    private final Steering steering;
    private final FleetView view;
    private final FleetStore store;
    private final StoreFollower follower;
    private final Enrolment enrolment;
    private final Exchanges exchanges;
    private final BackendClient backends;
    private final Front front;
    private final EdgeMetrics metrics;
    private final ReportSchedule pace = new ReportSchedule();
    private volatile EdgeSettings.Bounds bounds;
    private final AtomicBoolean stopping = new AtomicBoolean();
    private final CountDownLatch stopped = new CountDownLatch(1);

    private Edge(EdgeSettings settings, EdgeAdapter adapter, Clock clock) {
        this.settings = settings;
        this.adapter = adapter;
        this.bounds = settings.bounds();
        this.clock = clock;
        RandomGenerator random = new SplittableRandom();
        transport = closer.add("transport", new Transport());
        steering = new Steering(settings, clock, random);
        view = new FleetView(settings.vm(), settings.regions());
        store = closer.add("store", adapter.store().apply(transport, settings.store()));
        follower = new StoreFollower(store, steering, transport.loop(), clock, random);
        backends = new BackendClient(
                transport,
                adapter.servers(),
                clock,
                s -> steering.placement().suspectRestart(s.name(), clock.monotonic()));
        metrics = new EdgeMetrics(new RequestLog(clock));
        exchanges = new Exchanges(new ExchangeParts(
                steering, backends, adapter.callers(), adapter.servers(), metrics, clock, transport.loop()));
        enrolment = new Enrolment(transport, store, view, steering, follower, this::isServing, clock);
        front = closer.add("front", new Front(transport, settings.callers(), frontParts()));
        closer.add("readiness", new SmallPages(transport, settings.readiness(), this::readiness));
        closer.add("lookups", new SmallPages(transport, settings.lookups(), this::lookup));
        settings.metrics().ifPresent(a -> closer.add("metrics", new SmallPages(transport, a, uri -> metricsPage())));
    }

    private FrontParts frontParts() {
        BodyBudget budget = new BodyBudget(((long) settings.memoryMegabytes() << 20) / BODY_MEMORY_SHARE);
        return new FrontParts(
                exchanges,
                () -> steering.config().map(TrafficConfig::limits).orElse(ClientLimits.INITIAL),
                () -> lifecycle.phase().compareTo(Phase.LEAVING) >= 0,
                budget,
                clock);
    }

    /**
     * Starts an edge.
     *
     * @param settings checked settings
     * @param adapter the place that it runs in
     * @param clock the clock
     * @return the running edge
     */
    public static Edge start(EdgeSettings settings, EdgeAdapter adapter, Clock clock) {
        Edge edge = new Edge(settings, adapter, clock);
        edge.transport.loop().execute(edge::begin);
        LogEvent.of("started")
                .with("vm", settings.vm())
                .with("data-centre", settings.dataCentre())
                .with("callers", settings.callers())
                .with("lookups", settings.lookups())
                .with("reports", settings.reports())
                .with("store", settings.store())
                .info();
        return edge;
    }

    private void begin() {
        metrics.gauge("lycheetray_requests_in_progress", exchanges::inProgress);
        metrics.gauge("lycheetray_requests_waiting", exchanges::waiting);
        metrics.gauge("lycheetray_config_version", () -> steering.version().number());
        metrics.gauge("lycheetray_vms", () -> view.size() + 1);
        follower.start(this::beliefChanged);
        enrolment.start(settings);
        every(TICK, this::tick);
        every(SWEEP, this::sweep);
    }

    private void every(Duration period, Runnable task) {
        var _ = transport
                .loop()
                .scheduleWithFixedDelay(() -> run(task), period.toNanos(), period.toNanos(), TimeUnit.NANOSECONDS);
    }

    private static void run(Runnable task) {
        try {
            task.run();
        } catch (RuntimeException e) {
            LogEvent.of("task-failed").with("cause", e).error();
        }
    }

    private void tick() {
        steering.tick();
        exchanges.wake();
        MonotonicTime now = clock.monotonic();
        if (pace.isDue(view.size() + 1, steering.quota().isReportDue(), now)) {
            pace.recordSent(now);
            enrolment.report();
        }
    }

    private void sweep() {
        front.sweep(clock.monotonic());
        enrolment.expire();
    }

    private void beliefChanged() {
        backends.retain(steering.servers());
        if (steering.isReady()) {
            lifecycle.advance(Phase.SERVING);
        }
        exchanges.wake();
    }

    private boolean isServing() {
        return lifecycle.phase() == Phase.SERVING;
    }

    private SmallPages.Page readiness(String uri) {
        if (!adapter.lookups().isReadiness(uri)) {
            return SmallPages.Page.NOT_FOUND;
        }
        return new SmallPages.Page(isServing() ? 200 : 503, "text/plain", Body.EMPTY);
    }

    private SmallPages.Page lookup(String uri) {
        Optional<LookupDialect.Question> q = adapter.lookups().question(uri);
        if (q.isEmpty()) {
            return SmallPages.Page.NOT_FOUND;
        }
        MonotonicTime now = clock.monotonic();
        Optional<FleetMember> self = isServing() ? enrolment.self() : Optional.empty();
        List<Endpoint> addresses = new ArrayList<>();
        view.vmsForCaller(self, q.get().region(), regions(q.get().host()), now)
                .forEach(m -> addresses.add(m.callerEndpoint()));
        if (addresses.isEmpty()) {
            return new SmallPages.Page(503, "text/plain", new Body("no VM serves".getBytes(StandardCharsets.US_ASCII)));
        }
        Duration ttl = LOOKUP_TTL.compareTo(bounds.lookupTtl()) < 0 ? LOOKUP_TTL : bounds.lookupTtl();
        return new SmallPages.Page(
                200, "application/json", new Body(adapter.lookups().answer(addresses, ttl)));
    }

    /** Regions that a host's requests may pass through: those of its routes, if they all are limited. */
    private Set<RegionName> regions(String host) {
        List<TrafficRoute> routes = steering.config().map(TrafficConfig::routes).orElse(List.of()).stream()
                .filter(r -> r.host().equalsIgnoreCase(host))
                .toList();
        Set<RegionName> all = new HashSet<>();
        routes.forEach(r -> all.addAll(r.regions()));
        return routes.stream().anyMatch(r -> r.regions().isEmpty()) ? Set.of() : all;
    }

    private SmallPages.Page metricsPage() {
        return new SmallPages.Page(
                200, "text/plain; version=0.0.4", new Body(metrics.text().getBytes(StandardCharsets.UTF_8)));
    }

    /**
     * Waits for the edge to stop.
     *
     * @param limit longest time to wait
     * @return true if it has stopped
     * @throws InterruptedException if the waiting thread is interrupted
     */
    public boolean awaitStopped(Duration limit) throws InterruptedException {
        return stopped.await(limit.toMillis(), TimeUnit.MILLISECONDS);
    }

    /**
     * Puts changed limits of the fleet into force.
     *
     * @param next the limits
     */
    public void bounds(EdgeSettings.Bounds next) {
        bounds = next;
        transport.loop().execute(() -> steering.bounds(next));
    }

    /** Leaves as planned: is no longer named, serves callers that do not know yet, finishes what runs, then closes. */
    @Override
    public void close() {
        if (!stopping.compareAndSet(false, true)) {
            return;
        }
        MonotonicTime start = clock.monotonic();
        MonotonicTime limit = start.plus(Duration.ofNanos((long) (bounds.grace().toNanos() * STOP_SHARE)));
        MonotonicTime serveUntil = start.plus(SERVE_ON);
        onLoop(() -> {
            lifecycle.advance(Phase.LEAVING);
            enrolment.leave();
            LogEvent.of("leaving").with("in-progress", exchanges.inProgress()).info();
        });
        await(serveUntil.isBefore(limit) ? serveUntil : limit, false);
        onLoop(() -> {
            lifecycle.advance(Phase.DRAINING);
            exchanges.refuse();
            front.closeIdle();
            LogEvent.of("draining").with("in-progress", exchanges.inProgress()).info();
        });
        await(limit, true);
        onLoop(front::stopAccepting);
        int abandoned = exchanges.inProgress();
        lifecycle.advance(Phase.STOPPED);
        follower.stop();
        closer.close();
        LogEvent.of("stopped")
                .with("abandoned", abandoned)
                .with("took", clock.monotonic().since(start))
                .info();
        stopped.countDown();
    }

    private void onLoop(Runnable task) {
        transport.loop().submit(() -> run(task)).awaitUninterruptibly(POLL.toMillis() * 10);
    }

    private void await(MonotonicTime limit, boolean untilIdle) {
        while (clock.monotonic().isBefore(limit) && !(untilIdle && exchanges.inProgress() == 0)) {
            try {
                Thread.sleep(POLL);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
                return;
            }
        }
    }
}
