package org.lycheetray.edge;

import io.netty.util.concurrent.Future;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.Callable;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.Function;
import java.util.random.RandomGenerator;
import org.lycheetray.core.fleet.FleetKnowledge;
import org.lycheetray.core.fleet.FleetMember;
import org.lycheetray.core.fleet.FleetView;
import org.lycheetray.core.fleet.ReportSchedule;
import org.lycheetray.core.model.Endpoint;
import org.lycheetray.core.model.RegionName;
import org.lycheetray.core.reach.RelaySelection;
import org.lycheetray.core.reach.VmReach;
import org.lycheetray.core.stop.StopSchedule;
import org.lycheetray.core.time.Clock;
import org.lycheetray.core.time.MonotonicTime;
import org.lycheetray.core.traffic.ClientLimits;
import org.lycheetray.core.traffic.TrafficConfig;
import org.lycheetray.core.traffic.TrafficRoute;
import org.lycheetray.daemon.lifecycle.Closer;
import org.lycheetray.daemon.lifecycle.Lifecycle;
import org.lycheetray.daemon.lifecycle.Phase;
import org.lycheetray.daemon.limit.ListenerLimits;
import org.lycheetray.daemon.log.LogEvent;
import org.lycheetray.daemon.request.Body;
import org.lycheetray.edge.backend.BackendClient;
import org.lycheetray.edge.dialect.LookupDialect;
import org.lycheetray.edge.exchange.ExchangeContext;
import org.lycheetray.edge.exchange.Exchanges;
import org.lycheetray.edge.exchange.TrafficSteering;
import org.lycheetray.edge.fleet.FleetRegistration;
import org.lycheetray.edge.front.AuxiliaryContext;
import org.lycheetray.edge.front.AuxiliaryHttpServer;
import org.lycheetray.edge.front.CallerConnectionContext;
import org.lycheetray.edge.front.CallerListener;
import org.lycheetray.edge.relay.ReachMonitor;
import org.lycheetray.edge.relay.RelayClient;
import org.lycheetray.edge.relay.RelayContext;
import org.lycheetray.edge.relay.RelayListener;
import org.lycheetray.edge.relay.ServerAccess;
import org.lycheetray.edge.settings.EdgeSettings;
import org.lycheetray.edge.store.FleetStore;
import org.lycheetray.edge.store.StoreFollower;

/**
 * A running entry VM whose backend servers register themselves in a shared store.
 *
 * <p>Connects the listeners, the store, the VM reports and the routing state, and runs the planned stop.
 */
public final class Edge implements AutoCloseable {
    /**
     * Longest TTL of a look-up answer, which bounds how long callers still use a VM that has left; below the time for
     * which a {@link StopSchedule} accepts requests.
     */
    private static final Duration MAX_LOOKUP_TTL = Duration.ofSeconds(2);

    /** Period of the work that depends on time alone, such as retrying waiting requests and sending due reports. */
    private static final Duration TICK_PERIOD = Duration.ofMillis(25);

    /** Period of closing timed-out client connections and removing expired VMs. */
    private static final Duration SWEEP_PERIOD = Duration.ofMillis(500);

    /** Period at which the planned stop checks whether requests are still in progress. */
    private static final Duration POLL_PERIOD = Duration.ofMillis(20);

    /** Age up to which collected metrics are handed out again. */
    private static final Duration METRICS_MAX_AGE = Duration.ofMillis(100);

    /** Longest time for which the planned stop waits for the event loop in one step. */
    private static final Duration STEP_TIMEOUT = Duration.ofMillis(200);

    private static final double MILLIS_PER_SECOND = 1_000.0;

    /** Result of a step of the planned stop that failed or is delayed. */
    private static final int UNKNOWN = -1;

    private final EdgeSettings settings;
    private final EdgeAdapter adapter;
    private final Clock clock;
    private final Closer closer = new Closer();
    private final Lifecycle lifecycle = new Lifecycle();
    private final Transport transport;
    private final TrafficSteering steering;
    private final FleetView fleetView;
    private final FleetStore store;
    private final StoreFollower follower;
    private final FleetRegistration registration;
    private final Exchanges exchanges;
    private final ServerAccess backends;
    private final ReachMonitor reach;
    private final RelayListener relayListener;
    private final CallerListener callerListener;
    private final List<AuxiliaryHttpServer> auxiliaryServers = new ArrayList<>();
    private final EdgeMetrics metrics;
    private final ServerObserver serverObserver;
    private final MemoryBudget memory;
    private final ReportSchedule reportSchedule = new ReportSchedule();
    private Optional<MonotonicTime> metricsCollectedAt = Optional.empty();
    private Body collectedMetrics = Body.EMPTY;
    private volatile EdgeSettings.FleetLimits fleetLimits;
    private final AtomicBoolean stopping = new AtomicBoolean();
    private final CountDownLatch stopped = new CountDownLatch(1);

    private Edge(EdgeSettings settings, EdgeAdapter adapter, Clock clock) {
        this.settings = settings;
        this.adapter = adapter;
        this.fleetLimits = settings.fleetLimits();
        this.clock = clock;
        RandomGenerator random = new SplittableRandom();
        transport = closer.add("transport", new Transport());
        memory = MemoryBudget.ofHeap(Runtime.getRuntime().maxMemory(), transport.eventLoop());
        steering = new TrafficSteering(settings, clock, random);
        fleetView = new FleetView(settings.vm(), settings.regions());
        store = closer.add("store", adapter.storeFactory().apply(transport, settings.storeEndpoint()));
        follower = new StoreFollower(store, steering, transport.eventLoop(), clock, random);
        metrics = new EdgeMetrics(clock);
        reach = new ReachMonitor(steering, fleetView, clock, random);
        serverObserver = new ServerObserver(steering, metrics, reach, clock);
        BackendClient direct = new BackendClient(transport, adapter.backendDialect(), clock, memory, serverObserver);
        backends = new ServerAccess(
                direct,
                new RelayClient(transport, settings.reportEndpoint().host(), memory, clock),
                reach,
                new RelaySelection(settings.dataCentre(), settings.regions(), random),
                new ServerAccess.Collaborators(
                        this::localVm, fleetView, steering, adapter.backendDialect(), serverObserver, clock));
        exchanges = new Exchanges(new ExchangeContext(
                steering,
                backends,
                adapter.callerDialect(),
                adapter.backendDialect(),
                metrics,
                clock,
                transport.eventLoop()));
        registration = new FleetRegistration(transport, store, fleetView, steering, follower, this::isServing, clock);
        relayListener = closer.add("relays", newRelayListener(direct));
        callerListener = closer.add("front", newCallerListener());
        addAuxiliaryServers();
    }

    private RelayListener newRelayListener(BackendClient direct) {
        return new RelayListener(
                transport, settings.reportEndpoint(), settings.listenerLimits().relays(), relayContext(direct));
    }

    private CallerListener newCallerListener() {
        return new CallerListener(
                transport, settings.callerEndpoint(), settings.listenerLimits().callers(), callerConnectionContext());
    }

    private void addAuxiliaryServers() {
        ListenerLimits max = settings.listenerLimits();
        addAuxiliaryServer("readiness", settings.readinessEndpoint(), max.checks(), this::readiness);
        addAuxiliaryServer("lookups", settings.lookupEndpoint(), max.lookups(), this::lookup);
        settings.metricsEndpoint().ifPresent(a -> addAuxiliaryServer("metrics", a, max.checks(), uri -> metricsPage()));
    }

    private void addAuxiliaryServer(
            String name, Endpoint address, int maxConnections, Function<String, AuxiliaryHttpServer.Response> pages) {
        AuxiliaryContext context = new AuxiliaryContext(this::clientLimits, memory, clock);
        auxiliaryServers.add(
                closer.add(name, new AuxiliaryHttpServer(transport, address, maxConnections, context, pages)));
    }

    private ClientLimits clientLimits() {
        return steering.config().map(TrafficConfig::limits).orElse(ClientLimits.INITIAL);
    }

    private RelayContext relayContext(BackendClient direct) {
        return new RelayContext(
                this::localVm,
                fleetView,
                steering,
                direct,
                reach.reach(),
                adapter.backendDialect(),
                memory,
                () -> isServing() && !exchanges.isRefusing(),
                exchanges::checkCrashed,
                metrics,
                clock);
    }

    private Optional<FleetMember> localVm() {
        return registration.localVm();
    }

    private CallerConnectionContext callerConnectionContext() {
        return new CallerConnectionContext(
                exchanges,
                this::clientLimits,
                () -> lifecycle.phase().compareTo(Phase.LEAVING) >= 0,
                memory,
                metrics,
                clock);
    }

    /**
     * Starts an entry VM in this process.
     *
     * @param settings validated settings
     * @param adapter adapter to the platform
     * @param clock source of wall-clock and monotonic time
     * @return the running entry VM
     */
    public static Edge start(EdgeSettings settings, EdgeAdapter adapter, Clock clock) {
        Edge edge = new Edge(settings, adapter, clock);
        edge.transport.eventLoop().execute(edge::startOnLoop);
        LogEvent.of("started")
                .with("vm", settings.vm())
                .with("data-centre", settings.dataCentre())
                .with("callers", settings.callerEndpoint())
                .with("lookups", settings.lookupEndpoint())
                .with("reports", settings.reportEndpoint())
                .with("store", settings.storeEndpoint())
                .with("heap-mb", Runtime.getRuntime().maxMemory() >> 20)
                .with("budget-mb", edge.memory.limit() >> 20)
                .info();
        return edge;
    }

    private void startOnLoop() {
        metrics.registerGauge("lycheetray_requests_in_progress", exchanges::inProgressCount);
        metrics.registerGauge("lycheetray_requests_waiting", exchanges::pendingCount);
        metrics.registerGauge(
                "lycheetray_config_version", () -> steering.version().number());
        metrics.registerGauge(
                "lycheetray_limited_servers",
                () -> steering.placement().limits().limitedServerCount());
        metrics.registerGauge(
                "lycheetray_paused_servers",
                () -> steering.placement().availability().pausedCount(clock.monotonic()));
        metrics.registerGauge(
                "lycheetray_suspect_requests", () -> steering.suspects().suspectCount());
        metrics.registerGauge(
                "lycheetray_quarantined_requests", () -> steering.suspects().quarantinedCount());
        metrics.registerGauge("lycheetray_request_memory_bytes", memory::held);
        metrics.registerGauge("lycheetray_vms", () -> fleetView.size() + 1);
        registerFleetGauges();
        registerReachGauges();
        reach.onCutOff(exchanges::repeatElsewhere);
        follower.onRestore(registration::onStoreRestored);
        follower.start(this::onRoutingStateChanged);
        registration.start(settings);
        scheduleEvery(TICK_PERIOD, this::tick);
        scheduleEvery(SWEEP_PERIOD, this::sweep);
    }

    private void registerFleetGauges() {
        for (String state : FleetKnowledge.STATE_NAMES) {
            metrics.registerGauge(
                    "lycheetray_fleet_state|state=" + state,
                    () -> steering.fleet().stateName().equals(state) ? 1 : 0);
        }
        metrics.registerGauge("lycheetray_fleet_vms", () -> steering.fleet().vms());
        metrics.registerGauge("lycheetray_fleet_version", () -> steering.fleet().version());
        metrics.registerGauge(
                "lycheetray_fleet_age_seconds",
                () -> clock.monotonic().since(steering.fleet().since()).toMillis() / MILLIS_PER_SECOND);
    }

    private void registerReachGauges() {
        for (String state : VmReach.NAMES) {
            metrics.registerGauge(
                    "lycheetray_reach_state|state=" + state,
                    () -> reach.reach().state().stateName().equals(state) ? 1 : 0);
        }
        metrics.registerGauge(
                "lycheetray_servers_out_of_reach", () -> reach.reach().outOfReachCount());
        metrics.registerGauge(
                "lycheetray_reach_age_seconds",
                () -> clock.monotonic().since(reach.reach().state().since()).toMillis() / MILLIS_PER_SECOND);
    }

    private void scheduleEvery(Duration period, Runnable task) {
        var _ = transport
                .eventLoop()
                .scheduleWithFixedDelay(
                        () -> runLoggingErrors(task), period.toNanos(), period.toNanos(), TimeUnit.NANOSECONDS);
    }

    private void runLoggingErrors(Runnable task) {
        try {
            task.run();
        } catch (RuntimeException | Error e) {
            // A periodic task that throws is not run again.
            metrics.recordError("periodic task", e);
        }
    }

    private void tick() {
        steering.removeExpiredServers();
        serverObserver.logEndedPauses();
        exchanges.retryPending();
        MonotonicTime now = clock.monotonic();
        boolean urgent = steering.isReportDue() || reach.isReportDue();
        if (reportSchedule.isDue(fleetView.size() + 1, urgent, now)) {
            reportSchedule.recordSent(now);
            reach.recordReported();
            registration.sendReport();
        }
        backends.startChecks();
    }

    private void sweep() {
        callerListener.closeTimedOut(clock.monotonic());
        auxiliaryServers.forEach(s -> s.closeTimedOut(clock.monotonic()));
        registration.removeExpired();
        steering.suspects().removeExpired(clock.monotonic());
    }

    private void onRoutingStateChanged() {
        backends.retainServers(steering.servers());
        steering.config().map(TrafficConfig::routes).ifPresent(exchanges::retainRoutes);
        if (steering.isReady()) {
            lifecycle.advance(Phase.SERVING);
        }
        exchanges.retryPending();
    }

    private boolean isServing() {
        return lifecycle.phase() == Phase.SERVING;
    }

    private AuxiliaryHttpServer.Response readiness(String uri) {
        if (!adapter.lookupDialect().isReadinessCheck(uri)) {
            return AuxiliaryHttpServer.Response.NOT_FOUND;
        }
        return new AuxiliaryHttpServer.Response(isServing() ? 200 : 503, "text/plain", Body.EMPTY);
    }

    private AuxiliaryHttpServer.Response lookup(String uri) {
        Optional<LookupDialect.LookupRequest> q = adapter.lookupDialect().parseLookup(uri);
        if (q.isEmpty()) {
            return AuxiliaryHttpServer.Response.NOT_FOUND;
        }
        MonotonicTime now = clock.monotonic();
        Optional<FleetMember> localVm = isServing() ? registration.localVm() : Optional.empty();
        List<Endpoint> addresses = new ArrayList<>();
        fleetView
                .vmsForCaller(localVm, q.get().region(), entryRegions(q.get().host()), now)
                .forEach(m -> addresses.add(m.callerEndpoint()));
        if (addresses.isEmpty()) {
            return new AuxiliaryHttpServer.Response(
                    503, "text/plain", new Body("no VM serves".getBytes(StandardCharsets.US_ASCII)));
        }
        Duration ttl =
                MAX_LOOKUP_TTL.compareTo(fleetLimits.maxLookupTtl()) < 0 ? MAX_LOOKUP_TTL : fleetLimits.maxLookupTtl();
        return new AuxiliaryHttpServer.Response(
                200, "application/json", new Body(adapter.lookupDialect().formatAnswer(addresses, ttl)));
    }

    /**
     * Returns the regions that requests for a host may enter through: the union over its routes, or an empty set (no
     * restriction) if any of the routes is unrestricted.
     */
    private Set<RegionName> entryRegions(String host) {
        List<TrafficRoute> routes = steering.config().map(TrafficConfig::routes).orElse(List.of()).stream()
                .filter(r -> r.host().equalsIgnoreCase(host))
                .toList();
        Set<RegionName> allowed = new HashSet<>();
        routes.forEach(r -> allowed.addAll(r.regions()));
        return routes.stream().anyMatch(r -> r.regions().isEmpty()) ? Set.of() : allowed;
    }

    /** Returns the metrics, which are collected anew only after a while, since that takes long. */
    private AuxiliaryHttpServer.Response metricsPage() {
        MonotonicTime now = clock.monotonic();
        if (metricsCollectedAt
                .filter(t -> now.since(t).compareTo(METRICS_MAX_AGE) < 0)
                .isEmpty()) {
            metricsCollectedAt = Optional.of(now);
            collectedMetrics = new Body(metrics.text().getBytes(StandardCharsets.UTF_8));
        }
        return new AuxiliaryHttpServer.Response(200, "text/plain; version=0.0.4", collectedMetrics);
    }

    /**
     * Waits until this entry VM has stopped.
     *
     * @param limit longest time to wait
     * @return true if it has stopped, false if the time elapsed first
     * @throws InterruptedException if the waiting thread is interrupted
     */
    public boolean awaitStopped(Duration limit) throws InterruptedException {
        return stopped.await(limit.toMillis(), TimeUnit.MILLISECONDS);
    }

    /**
     * Applies changed fleet-wide limits.
     *
     * @param next the new limits
     */
    public void updateFleetLimits(EdgeSettings.FleetLimits next) {
        fleetLimits = next;
        transport.eventLoop().execute(() -> steering.updateBounds(next));
    }

    /**
     * Stops as planned: withdraws this VM from look-ups, keeps serving callers whose look-up answers have not expired,
     * completes the requests in progress, then closes. Starts no work that the servers are not likely to finish within
     * the grace period: such a request is refused as not run, so that its caller can use another VM. Shortly before the end
     * of the grace period the requests still in progress get a reply, so that the answers that wait behind them on a
     * connection are delivered too.
     */
    @Override
    public void close() {
        if (!stopping.compareAndSet(false, true)) {
            return;
        }
        MonotonicTime start = clock.monotonic();
        StopSchedule schedule = new StopSchedule(start, fleetLimits.gracePeriod());
        lifecycle.advance(Phase.LEAVING);
        exchanges.startLeaving(schedule);
        runOnLoop(this::startLeaving);
        awaitTime(schedule.serveUntil());
        runOnLoop(this::startDraining);
        awaitZero(this::unfinishedCount, schedule.requestLimit());
        int ended = callOnLoop(this::endRequests);
        int undelivered = awaitZero(callerListener::undeliveredCount, schedule.deliveryLimit());
        runOnLoop(callerListener::closeForStop);
        lifecycle.advance(Phase.STOPPED);
        follower.stop();
        closer.close();
        LogEvent.of("stopped")
                .with("ended", ended)
                .with("undelivered-connections", undelivered)
                .with("took", clock.monotonic().since(start))
                .info();
        stopped.countDown();
    }

    private void startLeaving() {
        registration.leave();
        LogEvent.of("leaving").with("in-progress", exchanges.inProgressCount()).info();
    }

    private void startDraining() {
        lifecycle.advance(Phase.DRAINING);
        callerListener.closeIdle();
        LogEvent.of("draining")
                .with("in-progress", exchanges.inProgressCount())
                .with("undelivered-connections", callerListener.undeliveredCount())
                .info();
    }

    /** Returns the number of requests in progress, those of other VMs included, and of connections with a request or a reply under way. */
    private int unfinishedCount() {
        return exchanges.inProgressCount()
                + relayListener.inProgressCount()
                + callerListener.receivingCount()
                + callerListener.undeliveredCount();
    }

    /** Ends the requests that are still in progress; returns their number. */
    private int endRequests() {
        int ended = exchanges.endAll();
        callerListener.stopAccepting();
        return ended;
    }

    private void runOnLoop(Runnable step) {
        int _ = callOnLoop(() -> {
            step.run();
            return 0;
        });
    }

    /** Runs a step of the stop on the event loop; returns its result, or {@link #UNKNOWN} if it failed or is delayed. */
    private int callOnLoop(Callable<Integer> step) {
        Future<Integer> f = transport.eventLoop().submit(step);
        if (!f.awaitUninterruptibly(STEP_TIMEOUT.toMillis())) {
            LogEvent.of("stop-step-delayed")
                    .with("waited-ms", STEP_TIMEOUT.toMillis())
                    .warn();
            return UNKNOWN;
        }
        if (!f.isSuccess()) {
            LogEvent.of("task-failed").with("cause", f.cause()).error();
            return UNKNOWN;
        }
        return f.getNow();
    }

    private void awaitTime(MonotonicTime limit) {
        while (clock.monotonic().isBefore(limit) && pause()) {}
    }

    /** Waits until a count, taken on the event loop, is 0 or the time is over; returns the last count. */
    private int awaitZero(Callable<Integer> count, MonotonicTime limit) {
        int n = callOnLoop(count);
        while (n != 0 && clock.monotonic().isBefore(limit) && pause()) {
            n = callOnLoop(count);
        }
        return n;
    }

    /** Waits for a moment; returns false if the thread was interrupted. */
    private static boolean pause() {
        try {
            Thread.sleep(POLL_PERIOD);
            return true;
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return false;
        }
    }
}
