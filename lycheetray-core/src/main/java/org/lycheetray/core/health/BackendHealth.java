package org.lycheetray.core.health;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.stream.Collectors;
import org.lycheetray.core.model.BackendServer;
import org.lycheetray.core.model.BackendServerName;
import org.lycheetray.core.model.Manifest;
import org.lycheetray.core.model.Service;
import org.lycheetray.core.model.ServiceName;
import org.lycheetray.core.time.MonotonicTime;

/**
 * Judges backend servers by what requests showed, and by what the servers report only where requests show nothing.
 *
 * <p>A report can never bring an ejected server back and can take an answering one out of use only by saying that it is
 * leaving. Ejection is limited to a share of a service's servers: when more of them fail, the fault is likelier on this
 * side or in common, and a service is never emptied. The idea of passive outlier ejection with a limit is that of Envoy's
 * outlier detection.
 */
public final class BackendHealth {
    private final HealthSettings settings;
    private final Map<BackendServerName, ServerRecord> records = new TreeMap<>();
    private boolean declared;

    /**
     * Creates a judge that knows no server.
     *
     * @param settings limits
     */
    public BackendHealth(HealthSettings settings) {
        this.settings = settings;
    }

    /**
     * Takes the servers of a manifest; those of the first manifest count as warm, later ones start slowly.
     *
     * @param manifest the manifest in force
     * @param now present time
     */
    public void declare(Manifest manifest, MonotonicTime now) {
        Map<ServiceName, Duration> coldStarts =
                manifest.services().stream().collect(Collectors.toMap(Service::name, Service::coldStart));
        Set<BackendServerName> names =
                manifest.backendServers().stream().map(BackendServer::name).collect(Collectors.toSet());
        records.keySet().retainAll(names);
        for (BackendServer s : manifest.backendServers()) {
            Duration coldStart = coldStarts.getOrDefault(s.service(), Duration.ZERO);
            records.computeIfAbsent(s.name(), n -> new ServerRecord(settings, s, coldStart, declared, now))
                    .redeclare(s, coldStart);
        }
        declared = true;
    }

    /**
     * Sets which servers a planned drain empties.
     *
     * @param drained all servers that are to get nothing new; those left out may be used again
     * @param now present time
     */
    public void drain(Set<BackendServerName> drained, MonotonicTime now) {
        records.forEach((name, r) -> r.drain(drained.contains(name), now));
    }

    /**
     * Takes what a request showed.
     *
     * @param server the server it was sent to
     * @param evidence what it showed
     * @param now present time
     */
    public void observe(BackendServerName server, Evidence evidence, MonotonicTime now) {
        find(server).ifPresent(r -> r.observe(evidence, now));
    }

    /**
     * Takes a shed request: the server is well but wants no work for a moment.
     *
     * @param server the server
     * @param pause for how long
     * @param now present time
     */
    public void shed(BackendServerName server, Duration pause, MonotonicTime now) {
        find(server).ifPresent(r -> r.shed(pause, now));
    }

    /**
     * Takes a server's own report.
     *
     * @param server the server
     * @param report what it says
     * @param now present time
     */
    public void report(BackendServerName server, HealthReport report, MonotonicTime now) {
        find(server).ifPresent(r -> r.report(report, now));
    }

    /**
     * Gives the servers of a service that may be given new work.
     *
     * @param service the service
     * @param now present time
     * @return usable servers by name; empty only if every server is leaving or shedding
     */
    public List<UsableServer> usable(ServiceName service, MonotonicTime now) {
        List<ServerRecord> staying = records.values().stream()
                .filter(r -> r.server().service().equals(service))
                .filter(r -> !r.isLeaving())
                .toList();
        List<ServerRecord> ejected = staying.stream()
                .filter(r -> r.isEjected(now))
                .sorted(Comparator.comparingLong(ServerRecord::doubt).reversed())
                .toList();
        int limit = (int) Math.floor(settings.largestEjectedShare() * staying.size());
        List<ServerRecord> out = ejected.subList(0, Math.min(limit, ejected.size()));
        List<UsableServer> usable = new ArrayList<>();
        for (ServerRecord r : staying) {
            ServerState state = r.state(now);
            if (state != ServerState.SHEDDING && !out.contains(r)) {
                ServerState shown = state == ServerState.EJECTED ? ServerState.KEPT : state;
                usable.add(new UsableServer(r.server(), r.slots(now), shown));
            }
        }
        return usable;
    }

    /**
     * Tells how a server is treated by itself, its service's limit on ejection left aside.
     *
     * @param server the server
     * @param now present time
     * @return the state, empty for an undeclared server
     */
    public Optional<ServerState> state(BackendServerName server, MonotonicTime now) {
        return find(server).map(r -> r.state(now));
    }

    private Optional<ServerRecord> find(BackendServerName server) {
        return Optional.ofNullable(records.get(server));
    }
}
