package org.lycheetray.daemon;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicBoolean;
import org.lycheetray.core.ledger.LedgerLimits;
import org.lycheetray.core.model.Incarnation;
import org.lycheetray.core.model.Policy;
import org.lycheetray.core.time.Clock;
import org.lycheetray.core.time.MonotonicTime;
import org.lycheetray.daemon.admission.FleetAdmission;
import org.lycheetray.daemon.config.ConfigAgent;
import org.lycheetray.daemon.control.ControlThread;
import org.lycheetray.daemon.http.HttpFront;
import org.lycheetray.daemon.http.HttpFrontParts;
import org.lycheetray.daemon.ledger.LedgerRecorder;
import org.lycheetray.daemon.lifecycle.Closer;
import org.lycheetray.daemon.lifecycle.Lifecycle;
import org.lycheetray.daemon.lifecycle.Phase;
import org.lycheetray.daemon.log.LogEvent;
import org.lycheetray.daemon.metrics.FleetMetrics;
import org.lycheetray.daemon.peer.PeerNetwork;
import org.lycheetray.daemon.request.RequestGates;
import org.lycheetray.daemon.request.RequestObserver;
import org.lycheetray.daemon.request.RequestPipeline;
import org.lycheetray.daemon.request.internal.BackendClient;
import org.lycheetray.daemon.running.Running;
import org.lycheetray.daemon.settings.Settings;
import org.lycheetray.daemon.status.StatusReport;
import org.lycheetray.daemon.steering.FleetMembership;
import org.lycheetray.daemon.steering.FleetSlots;
import org.lycheetray.daemon.steering.RankedVms;
import org.lycheetray.platform.PlatformClient;
import org.lycheetray.platform.PlatformSettings;

/** One running entry VM: everything that the process owns, from start to planned stop. */
public final class Daemon implements AutoCloseable {
    private static final Duration POLL = Duration.ofMillis(20);
    private static final Duration DEFAULT_DRAIN_LIMIT = Duration.ofSeconds(30);
    private static final Duration READY_POLL = Duration.ofMillis(100);

    private final Clock clock;
    private final Closer closer = new Closer();
    private final Lifecycle lifecycle = new Lifecycle();
    private final ConfigAgent config;
    private final FleetMembership membership;
    private final AtomicBoolean stopping = new AtomicBoolean();
    private final CountDownLatch stopped = new CountDownLatch(1);

    private Daemon(Settings settings, Clock clock) {
        this.clock = clock;
        Incarnation self = new Incarnation(settings.vm(), clock.instant().toEpochMilli());
        FleetMetrics metrics = new FleetMetrics();
        ControlThread control = closer.add("control-thread", new ControlThread());
        PlatformClient platform =
                closer.add("platform", PlatformClient.create(new PlatformSettings(settings.platform())));
        PeerNetwork peers = closer.add("peer-network", PeerNetwork.create(self, settings.fleetSecret(), clock));
        config = closer.add("config", ConfigAgent.create(self, settings, platform, peers, control, clock));
        LedgerRecorder ledger = closer.add(
                "ledger", LedgerRecorder.create(self, LedgerLimits.standard(), platform.objects(), control, clock));
        BackendClient backend = closer.add("backend-client", new BackendClient(clock));
        Running running = closer.add("running", Running.create(self, platform, control, peers, config, clock));
        FleetAdmission admission =
                closer.add("admission", FleetAdmission.create(self, control, clock, config, peers, platform.tables()));
        FleetMembership fleet = FleetMembership.create(self, platform, control, peers, config, clock);
        FleetSlots slots = FleetSlots.create(self, fleet, control, peers, config, running.health(), clock);
        this.membership = fleet;
        RequestGates gates = new RequestGates(config, admission, running.claims(), slots, running.attempts());
        RequestPipeline pipeline = new RequestPipeline(gates, backend, clock);
        StatusReport status = new StatusReport(control);
        status.section("process", node -> describe(self, settings, node));
        status.section("config", config::describe);
        running.expose(metrics, status);
        status.section("membership", fleet::describe);
        status.section("slots", slots::describe);
        admission.expose(metrics, status);
        HttpFrontParts parts = new HttpFrontParts(
                self,
                clock,
                lifecycle,
                config,
                new RankedVms(fleet, control, config, settings.dataCentre(), clock),
                pipeline,
                observers(metrics::finished, ledger),
                metrics,
                status);
        metrics.gauge("lycheetray_requests_in_progress", lifecycle::inProgress);
        metrics.gauge("lycheetray_refused_peer_connections_total", peers::refusedConnections);
        ledger.expose(metrics);
        peers.listen(settings.peers());
        closer.add("http-front", HttpFront.create(parts, settings.callers()));
        var _ = control.every("check-ready", READY_POLL, this::checkReady);
        logStart(self, settings);
    }

    private static void logStart(Incarnation self, Settings settings) {
        LogEvent.of("started")
                .with("vm", settings.vm())
                .with("incarnation", self.number())
                .with("callers", settings.callers())
                .with("peers", settings.peers())
                .info();
    }

    /**
     * Starts a daemon.
     *
     * @param settings checked settings
     * @param clock clock of the process
     * @return the running daemon
     */
    public static Daemon create(Settings settings, Clock clock) {
        return new Daemon(settings, clock);
    }

    /**
     * The daemon's phase.
     *
     * @return the phase
     */
    public Phase phase() {
        return lifecycle.phase();
    }

    /**
     * Waits until the daemon has stopped.
     *
     * @throws InterruptedException if the waiting thread is interrupted
     */
    public void awaitStopped() throws InterruptedException {
        stopped.await();
    }

    /** Leaves as planned: stops being looked up, serves until cached answers end, finishes what runs, then closes. */
    @Override
    public void close() {
        if (!stopping.compareAndSet(false, true)) {
            return;
        }
        Optional<Policy> policy = config.active().map(c -> c.manifest().policy());
        MonotonicTime start = clock.monotonic();
        MonotonicTime limit = start.plus(policy.map(Policy::drainLimit).orElse(DEFAULT_DRAIN_LIMIT));
        Duration ttl = policy.map(Policy::lookupTtl).orElse(Duration.ZERO);
        lifecycle.advance(Phase.LEAVING);
        membership.leave();
        LogEvent.of("leaving").with("step", "announce").info();
        awaitUntil(min(start.plus(ttl), limit), false);
        lifecycle.advance(Phase.DRAINING);
        LogEvent.of("draining").with("in-progress", lifecycle.inProgress()).info();
        awaitUntil(limit, true);
        lifecycle.advance(Phase.STOPPED);
        closer.close();
        LogEvent.of("stopped")
                .with("abandoned", lifecycle.inProgress())
                .with("took", clock.monotonic().since(start))
                .info();
        stopped.countDown();
    }

    private void describe(Incarnation self, Settings settings, ObjectNode node) {
        node.put("vm", self.vm().value());
        node.put("incarnation", self.number());
        node.put("dataCentre", settings.dataCentre().value());
        node.put("phase", lifecycle.phase().name());
        node.put("inProgress", lifecycle.inProgress());
        node.put("configVersion", config.active().map(c -> c.version().number()).orElse(0L));
    }

    private static RequestObserver observers(RequestObserver first, RequestObserver second) {
        return r -> {
            first.finished(r);
            second.finished(r);
        };
    }

    private void checkReady() {
        if (config.active().isPresent()) {
            lifecycle.advance(Phase.SERVING);
        }
    }

    private static MonotonicTime min(MonotonicTime a, MonotonicTime b) {
        return a.isBefore(b) ? a : b;
    }

    private void awaitUntil(MonotonicTime limit, boolean untilIdle) {
        while (clock.monotonic().isBefore(limit) && !(untilIdle && lifecycle.inProgress() == 0)) {
            try {
                Thread.sleep(POLL);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
                return;
            }
        }
    }
}
