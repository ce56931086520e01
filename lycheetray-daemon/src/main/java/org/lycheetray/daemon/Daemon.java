package org.lycheetray.daemon;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicBoolean;
import org.lycheetray.core.ledger.LedgerLimits;
import org.lycheetray.core.model.Incarnation;
import org.lycheetray.core.model.Policy;
import org.lycheetray.core.stop.StopSchedule;
import org.lycheetray.core.time.Clock;
import org.lycheetray.core.time.MonotonicTime;
import org.lycheetray.daemon.admission.FleetAdmission;
import org.lycheetray.daemon.config.ConfigAgent;
import org.lycheetray.daemon.control.ControlThread;
import org.lycheetray.daemon.http.HttpFrontend;
import org.lycheetray.daemon.http.HttpFrontendDependencies;
import org.lycheetray.daemon.ledger.LedgerRecorder;
import org.lycheetray.daemon.lifecycle.Closer;
import org.lycheetray.daemon.lifecycle.Lifecycle;
import org.lycheetray.daemon.lifecycle.Phase;
import org.lycheetray.daemon.log.LogEvent;
import org.lycheetray.daemon.metrics.DaemonMetrics;
import org.lycheetray.daemon.peer.PeerNetwork;
import org.lycheetray.daemon.request.RequestGates;
import org.lycheetray.daemon.request.RequestObserver;
import org.lycheetray.daemon.request.RequestPipeline;
import org.lycheetray.daemon.request.internal.BackendClient;
import org.lycheetray.daemon.running.Safeguards;
import org.lycheetray.daemon.settings.Settings;
import org.lycheetray.daemon.status.StatusReport;
import org.lycheetray.daemon.steering.FleetMembership;
import org.lycheetray.daemon.steering.RankedEntryVmLookup;
import org.lycheetray.daemon.steering.SlotAllocator;
import org.lycheetray.platform.PlatformClient;
import org.lycheetray.platform.PlatformSettings;

/** A running entry VM. Creates, connects and closes all components of the process. */
public final class Daemon implements AutoCloseable {
    private static final Duration SHUTDOWN_POLL_INTERVAL = Duration.ofMillis(20);
    private static final Duration DEFAULT_DRAIN_TIMEOUT = Duration.ofSeconds(30);
    private static final Duration READINESS_POLL_INTERVAL = Duration.ofMillis(100);

    private final Clock clock;
    private final Closer closer = new Closer();
    private final Lifecycle lifecycle = new Lifecycle();
    private final ConfigAgent config;
    private final FleetMembership membership;
    private final HttpFrontend frontend;
    private final AtomicBoolean stopping = new AtomicBoolean();
    private final CountDownLatch stopped = new CountDownLatch(1);

    private Daemon(Settings settings, Clock clock) {
        this.clock = clock;
        Incarnation local = new Incarnation(settings.vm(), clock.instant().toEpochMilli());
        DaemonMetrics metrics = new DaemonMetrics();
        ControlThread control = closer.add("control-thread", new ControlThread());
        PlatformClient platform =
                closer.add("platform", PlatformClient.create(new PlatformSettings(settings.platform())));
        PeerNetwork peers = closer.add("peer-network", PeerNetwork.create(local, settings.fleetSecret(), clock));
        config = closer.add("config", ConfigAgent.create(local, settings, platform, peers, control, clock));
        LedgerRecorder ledger = closer.add(
                "ledger", LedgerRecorder.create(local, LedgerLimits.standard(), platform.objects(), control, clock));
        BackendClient backend = closer.add("backend-client", new BackendClient(clock));
        Safeguards running = closer.add("running", Safeguards.create(local, platform, control, peers, config, clock));
        FleetAdmission admission =
                closer.add("admission", FleetAdmission.create(local, control, clock, config, peers, platform.tables()));
        FleetMembership fleet = FleetMembership.create(local, platform, control, peers, config, clock);
        SlotAllocator slots = SlotAllocator.create(local, fleet, control, peers, config, running.health(), clock);
        this.membership = fleet;
        RequestGates gates = new RequestGates(config, admission, running.claims(), slots, running.attempts());
        RequestPipeline pipeline = new RequestPipeline(gates, backend, clock);
        StatusReport status = new StatusReport(control);
        status.addSection("process", node -> writeProcessStatus(local, settings, node));
        status.addSection("config", config::writeStatus);
        running.expose(metrics, status);
        status.addSection("membership", fleet::writeStatus);
        status.addSection("slots", slots::writeStatus);
        admission.registerMetrics(metrics, status);
        HttpFrontendDependencies dependencies = new HttpFrontendDependencies(
                local,
                clock,
                lifecycle,
                config,
                new RankedEntryVmLookup(fleet, control, config, settings.dataCentre(), clock),
                pipeline,
                combine(metrics::recordRequest, ledger),
                metrics,
                status);
        metrics.registerGauge("lycheetray_requests_in_progress", lifecycle::requestsInProgress);
        metrics.registerGauge("lycheetray_refused_peer_connections_total", peers::refusedConnections);
        ledger.registerMetrics(metrics);
        peers.listen(settings.peerEndpoint(), settings.limits().relays());
        frontend = closer.add("http-front", createFrontend(dependencies, settings));
        var _ = control.schedulePeriodically("check-ready", READINESS_POLL_INTERVAL, this::serveWhenConfigured);
        logStart(local, settings);
    }

    private static HttpFrontend createFrontend(HttpFrontendDependencies dependencies, Settings s) {
        return HttpFrontend.create(dependencies, s.callerEndpoint(), s.limits().callers());
    }

    private static void logStart(Incarnation localIncarnation, Settings settings) {
        LogEvent.of("started")
                .with("vm", settings.vm())
                .with("incarnation", localIncarnation.number())
                .with("callers", settings.callerEndpoint())
                .with("peers", settings.peerEndpoint())
                .info();
    }

    /**
     * Creates and starts a daemon.
     *
     * @param settings validated settings
     * @param clock clock of the process
     * @return the running daemon
     */
    public static Daemon create(Settings settings, Clock clock) {
        return new Daemon(settings, clock);
    }

    /**
     * Returns the current phase of the daemon.
     *
     * @return the phase
     */
    public Phase phase() {
        return lifecycle.phase();
    }

    /**
     * Blocks until the daemon has stopped.
     *
     * @throws InterruptedException if the calling thread is interrupted
     */
    public void awaitStopped() throws InterruptedException {
        stopped.await();
    }

    /**
     * Shuts down gracefully. Announces that this VM is leaving, which removes it from look-up answers, and serves
     * requests until cached look-up answers have expired. Then refuses new requests until those in progress have ended.
     * Shortly before the drain limit the requests still in progress get a reply. Then closes all components. Calls after the first one have no effect.
     */
    @Override
    public void close() {
        if (!stopping.compareAndSet(false, true)) {
            return;
        }
        Optional<Policy> policy = config.active().map(c -> c.manifest().policy());
        MonotonicTime start = clock.monotonic();
        StopSchedule schedule =
                new StopSchedule(start, policy.map(Policy::drainLimit).orElse(DEFAULT_DRAIN_TIMEOUT));
        Duration ttl = policy.map(Policy::lookupTtl).orElse(Duration.ZERO);
        lifecycle.advance(Phase.LEAVING);
        membership.announceLeaving();
        LogEvent.of("leaving").with("step", "announce").info();
        awaitUntil(earlier(start.plus(ttl), schedule.requestLimit()), false);
        lifecycle.advance(Phase.DRAINING);
        LogEvent.of("draining")
                .with("in-progress", lifecycle.requestsInProgress())
                .info();
        awaitUntil(schedule.requestLimit(), true);
        int ended = lifecycle.requestsInProgress();
        frontend.endRequests();
        awaitUntil(schedule.deliveryLimit(), true);
        lifecycle.advance(Phase.STOPPED);
        closer.close();
        LogEvent.of("stopped")
                .with("ended", ended)
                .with("abandoned", lifecycle.requestsInProgress())
                .with("took", clock.monotonic().since(start))
                .info();
        stopped.countDown();
    }

    private void writeProcessStatus(Incarnation localIncarnation, Settings settings, ObjectNode node) {
        node.put("vm", localIncarnation.vm().value());
        node.put("incarnation", localIncarnation.number());
        node.put("dataCentre", settings.dataCentre().value());
        node.put("phase", lifecycle.phase().name());
        node.put("inProgress", lifecycle.requestsInProgress());
        node.put("configVersion", config.active().map(c -> c.version().number()).orElse(0L));
    }

    private static RequestObserver combine(RequestObserver first, RequestObserver second) {
        return r -> {
            first.onRequestFinished(r);
            second.onRequestFinished(r);
        };
    }

    private void serveWhenConfigured() {
        if (config.active().isPresent()) {
            lifecycle.advance(Phase.SERVING);
        }
    }

    private static MonotonicTime earlier(MonotonicTime a, MonotonicTime b) {
        return a.isBefore(b) ? a : b;
    }

    private void awaitUntil(MonotonicTime deadline, boolean untilIdle) {
        while (clock.monotonic().isBefore(deadline) && !(untilIdle && lifecycle.requestsInProgress() == 0)) {
            try {
                Thread.sleep(SHUTDOWN_POLL_INTERVAL);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
                return;
            }
        }
    }
}
