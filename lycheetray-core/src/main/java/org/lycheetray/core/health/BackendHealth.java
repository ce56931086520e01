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
 * Determines which backend servers are usable, from the outcomes of requests and from health reports of the servers.
 *
 * <p>Request outcomes take precedence over health reports. A report never readmits an ejected server, and it takes a
 * server that is answering requests out of use only if it announces that the server is leaving. The share of the
 * servers of a service that may be ejected is limited: if more of them fail, a local or common fault is more likely,
 * and a service must not be left without servers. This follows the passive outlier detection of Envoy.
 */
public final class BackendHealth {
    private final HealthSettings settings;
    private final Map<BackendServerName, ServerRecord> records = new TreeMap<>();
    private boolean hasManifest;

    /**
     * Creates an instance that knows no servers.
     *
     * @param settings thresholds and durations
     */
    public BackendHealth(HealthSettings settings) {
        this.settings = settings;
    }

    /**
     * Applies the servers of a manifest.
     *
     * <p>Servers in the first manifest are considered warm; servers added by later ones go through slow start.
     *
     * @param manifest the manifest in force
     * @param now current time
     */
    public void applyManifest(Manifest manifest, MonotonicTime now) {
        Map<ServiceName, Duration> coldStarts =
                manifest.services().stream().collect(Collectors.toMap(Service::name, Service::coldStart));
        Set<BackendServerName> names =
                manifest.backendServers().stream().map(BackendServer::name).collect(Collectors.toSet());
        records.keySet().retainAll(names);
        for (BackendServer s : manifest.backendServers()) {
            Duration coldStart = coldStarts.getOrDefault(s.service(), Duration.ZERO);
            records.computeIfAbsent(s.name(), n -> new ServerRecord(settings, s, coldStart, hasManifest, now))
                    .updateDeclaration(s, coldStart);
        }
        hasManifest = true;
    }

    /**
     * Replaces the set of servers under a planned drain.
     *
     * @param drained all servers that must not receive new requests; all others may be used again
     * @param now current time
     */
    public void setDrained(Set<BackendServerName> drained, MonotonicTime now) {
        records.forEach((name, r) -> r.setDrained(drained.contains(name), now));
    }

    /**
     * Records the outcome of a request.
     *
     * @param server name of the server to which the request was sent
     * @param evidence the outcome
     * @param now current time
     */
    public void recordEvidence(BackendServerName server, Evidence evidence, MonotonicTime now) {
        find(server).ifPresent(r -> r.observe(evidence, now));
    }

    /**
     * Records a shed request: the server is healthy but must not receive requests for a short time.
     *
     * @param server name of the server
     * @param pause time without new requests
     * @param now current time
     */
    public void recordShed(BackendServerName server, Duration pause, MonotonicTime now) {
        find(server).ifPresent(r -> r.recordShed(pause, now));
    }

    /**
     * Applies a health report of a server.
     *
     * @param server name of the server
     * @param report the report
     * @param now current time
     */
    public void applyReport(BackendServerName server, HealthReport report, MonotonicTime now) {
        find(server).ifPresent(r -> r.applyReport(report, now));
    }

    /**
     * Returns the servers of a service that may receive new requests.
     *
     * @param service name of the service
     * @param now current time
     * @return usable servers, ordered by name; empty only if every server is leaving or shedding
     */
    public List<UsableServer> usableServers(ServiceName service, MonotonicTime now) {
        List<ServerRecord> staying = records.values().stream()
                .filter(r -> r.server().service().equals(service))
                .filter(r -> !r.isLeaving())
                .toList();
        List<ServerRecord> ejected = staying.stream()
                .filter(r -> r.isEjected(now))
                .sorted(Comparator.comparingLong(ServerRecord::severity).reversed())
                .toList();
        int limit = (int) Math.floor(settings.maxEjectedShare() * staying.size());
        List<ServerRecord> out = ejected.subList(0, Math.min(limit, ejected.size()));
        List<UsableServer> usable = new ArrayList<>();
        for (ServerRecord r : staying) {
            ServerState state = r.state(now);
            if (state != ServerState.SHEDDING && !out.contains(r)) {
                ServerState effective = state == ServerState.EJECTED ? ServerState.KEPT : state;
                usable.add(new UsableServer(r.server(), r.slots(now), effective));
            }
        }
        return usable;
    }

    /**
     * Returns the state of a server, regardless of the limit on ejected servers of its service.
     *
     * @param server name of the server
     * @param now current time
     * @return the state, or empty if the server is not in the manifest
     */
    public Optional<ServerState> state(BackendServerName server, MonotonicTime now) {
        return find(server).map(r -> r.state(now));
    }

    private Optional<ServerRecord> find(BackendServerName server) {
        return Optional.ofNullable(records.get(server));
    }
}
