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

/** Judges backend servers on the control thread and shows the result to all threads. */
public final class ServerHealth {
    private static final Duration REFRESH = Duration.ofMillis(100);
    private static final Duration POLL = Duration.ofSeconds(1);
    private static final Duration SHED_PAUSE = Duration.ofMillis(100);

    private final BackendHealth health = new BackendHealth(HealthSettings.DEFAULT);
    private final ControlThread control;
    private final ConfigView config;
    private final Clock clock;
    private final HealthProbe probe;
    private ConfigVersion declared = ConfigVersion.NONE;
    private volatile Map<BackendServerName, UsableServer> usable = Map.of();

    /**
     * Starts to judge.
     *
     * @param control owns the judgement
     * @param config declares the servers and their planned drains
     * @param clock clock of the process
     * @param probe asks servers for their health
     */
    public ServerHealth(ControlThread control, ConfigView config, Clock clock, HealthProbe probe) {
        this.control = control;
        this.config = config;
        this.clock = clock;
        this.probe = probe;
        var _ = control.every("refresh-health", REFRESH, this::refresh);
        var _ = control.every("poll-health", POLL, this::poll);
    }

    /**
     * Tells whether a server may be given new work.
     *
     * @param server a declared server
     * @return the server with the slots that may be used at present, or empty if it gets nothing new
     */
    public Optional<UsableServer> usable(BackendServerName server) {
        return Optional.ofNullable(usable.get(server));
    }

    /**
     * Takes what an attempt showed.
     *
     * @param server the server
     * @param result how the attempt ended
     * @param callerGone true if it ended because the caller left, which says nothing of the server
     */
    public void observe(BackendServer server, AttemptResult result, boolean callerGone) {
        control.execute("observe-server", () -> {
            note(server.name(), result, callerGone);
            if (!(result instanceof AttemptResult.Answered)) {
                show();
            }
        });
    }

    /**
     * Tells how each server is treated; called on the control thread.
     *
     * @return states by name
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
     * Gives the manifest's servers.
     *
     * @return the manifest in force, empty before the first was learnt
     */
    public Optional<Manifest> manifest() {
        return config.active().map(ActiveConfig::manifest);
    }

    private void note(BackendServerName server, AttemptResult result, boolean callerGone) {
        switch (result) {
            case AttemptResult.Answered a ->
                health.recordEvidence(
                        server,
                        a.answer().status() < 500 ? Evidence.ANSWERED : Evidence.SERVER_ERROR,
                        clock.monotonic());
            case AttemptResult.NotRun n when n.shed() -> health.recordShed(server, SHED_PAUSE, clock.monotonic());
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
            if (!c.version().equals(declared)) {
                declared = c.version();
                health.applyManifest(c.manifest(), clock.monotonic());
            }
            drain(c);
            show();
        });
    }

    private void drain(ActiveConfig c) {
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

    private void show() {
        usable = manifest().stream()
                .flatMap(m -> m.services().stream())
                .flatMap(s -> health.usableServers(s.name(), clock.monotonic()).stream())
                .collect(Collectors.toUnmodifiableMap(u -> u.server().name(), Function.identity()));
    }

    private void poll() {
        manifest().ifPresent(m -> {
            var _ = Flux.fromIterable(m.backendServers())
                    .flatMap(s -> probe.health(s).doOnNext(r -> control.execute("health-report", () -> report(s, r))))
                    .subscribe();
        });
    }

    private void report(BackendServer s, HealthReport r) {
        health.applyReport(s.name(), r, clock.monotonic());
        if (r.leaving()) {
            show();
        }
    }
}
