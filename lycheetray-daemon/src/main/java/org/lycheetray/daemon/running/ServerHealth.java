package org.lycheetray.daemon.running;

import java.time.Duration;
import java.util.Map;
import java.util.Optional;
import java.util.SortedMap;
import java.util.TreeMap;
import java.util.function.Function;
import java.util.stream.Collectors;
import org.lycheetray.core.health.BackendHealth;
import org.lycheetray.core.health.Evidence;
import org.lycheetray.core.health.HealthReport;
import org.lycheetray.core.health.HealthSettings;
import org.lycheetray.core.health.ServerState;
import org.lycheetray.core.health.UsableServer;
import org.lycheetray.core.model.BackendServer;
import org.lycheetray.core.model.BackendServerName;
import org.lycheetray.core.model.ConfigVersion;
import org.lycheetray.core.model.DrainTarget;
import org.lycheetray.core.model.Manifest;
import org.lycheetray.core.model.PlannedDrain;
import org.lycheetray.core.model.RegionName;
import org.lycheetray.core.time.Clock;
import org.lycheetray.daemon.config.ActiveConfig;
import org.lycheetray.daemon.config.ConfigView;
import org.lycheetray.daemon.control.ControlThread;
import org.lycheetray.daemon.request.AttemptResult;
import reactor.core.publisher.Flux;

/** Tracks the health of backend servers on the control thread and publishes the usable servers to all threads. */
public final class ServerHealth {
    private static final Duration REFRESH_PERIOD = Duration.ofMillis(100);
    private static final Duration POLL_PERIOD = Duration.ofSeconds(1);
    private static final Duration SHED_BACKOFF = Duration.ofMillis(100);

    private final BackendHealth health = new BackendHealth(HealthSettings.DEFAULT);
    private final ControlThread control;
    private final ConfigView config;
    private final Clock clock;
    private final HealthProbe probe;
    private ConfigVersion appliedVersion = ConfigVersion.NONE;
    private volatile Map<BackendServerName, UsableServer> usable = Map.of();

    /**
     * Creates the tracker and starts its periodic tasks.
     *
     * @param control thread that owns the health state
     * @param config configuration with the servers and their planned drains
     * @param clock clock of the process
     * @param probe queries the health of servers
     */
    public ServerHealth(ControlThread control, ConfigView config, Clock clock, HealthProbe probe) {
        this.control = control;
        this.config = config;
        this.clock = clock;
        this.probe = probe;
        var _ = control.schedulePeriodically("refresh-health", REFRESH_PERIOD, this::refresh);
        var _ = control.schedulePeriodically("poll-health", POLL_PERIOD, this::poll);
    }

    /**
     * Returns a server if it may receive new requests; safe for all threads.
     *
     * @param server a declared server
     * @return the server with its currently usable slots, or empty if it must not receive new requests
     */
    public Optional<UsableServer> usableServer(BackendServerName server) {
        return Optional.ofNullable(usable.get(server));
    }

    /**
     * Records the result of an attempt.
     *
     * @param server the server
     * @param result result of the attempt
     * @param callerGone true if the attempt ended because the caller disconnected, which is no evidence about the
     *     server
     */
    public void recordResult(BackendServer server, AttemptResult result, boolean callerGone) {
        control.execute("observe-server", () -> {
            recordEvidence(server.name(), result, callerGone);
            if (!(result instanceof AttemptResult.Answered)) {
                publishUsable();
            }
        });
    }

    /**
     * Returns the state of each server; must be called on the control thread.
     *
     * @return states by server name
     */
    public SortedMap<BackendServerName, ServerState> states() {
        SortedMap<BackendServerName, ServerState> states = new TreeMap<>();
        manifest().stream()
                .flatMap(m -> m.backendServers().stream())
                .forEach(
                        s -> health.state(s.name(), clock.monotonic()).ifPresent(state -> states.put(s.name(), state)));
        return states;
    }

    /**
     * Returns the manifest in force.
     *
     * @return the manifest, empty until the first configuration is received
     */
    public Optional<Manifest> manifest() {
        return config.active().map(ActiveConfig::manifest);
    }

    private void recordEvidence(BackendServerName server, AttemptResult result, boolean callerGone) {
        switch (result) {
            case AttemptResult.Answered a ->
                health.recordEvidence(
                        server,
                        a.answer().status() < 500 ? Evidence.ANSWERED : Evidence.SERVER_ERROR,
                        clock.monotonic());
            case AttemptResult.NotRun n when n.shed() -> health.recordShed(server, SHED_BACKOFF, clock.monotonic());
            case AttemptResult.NotRun _ -> health.recordEvidence(server, Evidence.CONNECT_FAILED, clock.monotonic());
            case AttemptResult.Uncertain u
            when !callerGone ->
                health.recordEvidence(
                        server, u.timedOut() ? Evidence.TIMEOUT : Evidence.CONNECTION_LOST, clock.monotonic());
            case AttemptResult.Uncertain _ -> {}
        }
    }

    private void refresh() {
        config.active().ifPresent(c -> {
            if (!c.version().equals(appliedVersion)) {
                appliedVersion = c.version();
                health.applyManifest(c.manifest(), clock.monotonic());
            }
            updateDrained(c);
            publishUsable();
        });
    }

    private void updateDrained(ActiveConfig c) {
        health.setDrained(
                c.manifest().backendServers().stream()
                        .filter(s -> isDrained(c, s))
                        .map(BackendServer::name)
                        .collect(Collectors.toSet()),
                clock.monotonic());
    }

    private boolean isDrained(ActiveConfig c, BackendServer s) {
        return c.manifest().plannedDrains().stream()
                .filter(d -> d.isActive(clock.instant()))
                .map(PlannedDrain::target)
                .anyMatch(t -> covers(t, s, c.region(s.dataCentre())));
    }

    private static boolean covers(DrainTarget target, BackendServer s, RegionName region) {
        return switch (target) {
            case DrainTarget.OfRegion r -> r.region().equals(region);
            case DrainTarget.OfDataCentre d -> d.dataCentre().equals(s.dataCentre());
            case DrainTarget.OfBackendServer b -> b.backendServer().equals(s.name());
            case DrainTarget.OfVm _ -> false;
        };
    }

    private void publishUsable() {
        usable = manifest().stream()
                .flatMap(m -> m.services().stream())
                .flatMap(s -> health.usableServers(s.name(), clock.monotonic()).stream())
                .collect(Collectors.toUnmodifiableMap(u -> u.server().name(), Function.identity()));
    }

    private void poll() {
        manifest().ifPresent(m -> {
            var _ = Flux.fromIterable(m.backendServers())
                    .flatMap(s -> probe.fetchHealth(s)
                            .doOnNext(r -> control.execute("health-report", () -> applyReport(s, r))))
                    .subscribe();
        });
    }

    private void applyReport(BackendServer s, HealthReport r) {
        health.applyReport(s.name(), r, clock.monotonic());
        if (r.leaving()) {
            publishUsable();
        }
    }
}
