package org.lycheetray.edge.exchange;

import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.Set;
import java.util.random.RandomGenerator;
import org.lycheetray.core.allowance.FleetRetryBudget;
import org.lycheetray.core.allowance.RateStatement;
import org.lycheetray.core.allowance.ServerLimits;
import org.lycheetray.core.fleet.FleetKnowledge;
import org.lycheetray.core.model.BackendServerName;
import org.lycheetray.core.model.ClientAccountName;
import org.lycheetray.core.model.ConfigVersion;
import org.lycheetray.core.model.DataCentreName;
import org.lycheetray.core.model.RegionName;
import org.lycheetray.core.model.ServiceName;
import org.lycheetray.core.model.VmName;
import org.lycheetray.core.placement.Placement;
import org.lycheetray.core.placement.PlacementSettings;
import org.lycheetray.core.quota.FleetQuota;
import org.lycheetray.core.registry.RegisteredServer;
import org.lycheetray.core.registry.ServerRegistry;
import org.lycheetray.core.split.WeightedSplit;
import org.lycheetray.core.suspect.CrashSuspects;
import org.lycheetray.core.suspect.RequestFingerprint;
import org.lycheetray.core.suspect.SuspectRequest;
import org.lycheetray.core.time.Clock;
import org.lycheetray.core.time.MonotonicTime;
import org.lycheetray.core.traffic.AccountPolicy;
import org.lycheetray.core.traffic.TrafficConfig;
import org.lycheetray.core.traffic.TrafficRoute;
import org.lycheetray.daemon.log.LogEvent;
import org.lycheetray.edge.settings.EdgeSettings;
import org.lycheetray.edge.store.RecordBatch;
import org.lycheetray.edge.store.StoreRecord;

/**
 * The local VM's routing state: configuration, backend servers, quotas, retry budget and requests suspected of crashes.
 *
 * <p>A configuration replaces only one of a lower version, so the order of arrival does not matter. Not thread-safe:
 * used on the event loop only.
 */
public final class TrafficSteering {
    /** Share of a server's connection limit that the fleet uses; leaves room for closing connections and checks. */
    private static final double USABLE_CONNECTION_SHARE = 0.8;

    private final PlacementSettings placementSettings;
    private final Clock clock;
    private final RandomGenerator random;
    private final ServerRegistry registry = new ServerRegistry();
    private final Placement placement;
    private final FleetQuota quota;
    private final FleetRetryBudget retryBudget;
    private final CrashSuspects suspects = new CrashSuspects();
    private final Map<String, WeightedSplit> splits = new HashMap<>();
    private final Set<DataCentreName> evacuatedDataCentres = new HashSet<>();
    private Optional<TrafficConfig> config = Optional.empty();
    private boolean serversKnown;
    private FleetKnowledge fleet = FleetKnowledge.initial();

    /**
     * Creates an instance without configuration and backend servers.
     *
     * @param settings settings of the local VM
     * @param clock source of the current time
     * @param random used to break ties and to choose where a weighted split starts
     */
    public TrafficSteering(EdgeSettings settings, Clock clock, RandomGenerator random) {
        this.clock = clock;
        this.random = random;
        EdgeSettings.FleetLimits limits = settings.fleetLimits();
        this.placementSettings = new PlacementSettings(
                settings.vm(),
                settings.dataCentre(),
                settings.regions(),
                limits.coldOverage(),
                limits.coldSlack(),
                limits.maxShift());
        this.placement = new Placement(placementSettings, random);
        this.quota = new FleetQuota(limits.quotaTolerance());
        this.retryBudget = new FleetRetryBudget(limits.retryLimits());
    }

    /**
     * Applies a complete listing of the operators' records.
     *
     * @param batch all records
     */
    public void applyOperatorSnapshot(RecordBatch batch) {
        applyOperatorRecords(batch, true);
    }

    /**
     * Applies changes of the operators' records.
     *
     * @param batch the changed records
     */
    public void applyOperatorChanges(RecordBatch batch) {
        applyOperatorRecords(batch, false);
    }

    private void applyOperatorRecords(RecordBatch batch, boolean complete) {
        Set<DataCentreName> before = Set.copyOf(evacuatedDataCentres);
        if (complete) {
            evacuatedDataCentres.clear();
        }
        batch.records().forEach(this::applyOperatorRecord);
        if (!before.equals(evacuatedDataCentres)) {
            applyEvacuation();
        }
    }

    private void applyOperatorRecord(StoreRecord r) {
        switch (r) {
            case StoreRecord.Config c -> applyConfig(c.config());
            case StoreRecord.EvacuateDataCentre e -> evacuatedDataCentres.add(e.dataCentre());
            case StoreRecord.RestoreDataCentre e -> evacuatedDataCentres.remove(e.dataCentre());
            default -> logIgnoredRecord(r);
        }
    }

    private void applyEvacuation() {
        placement.evacuate(evacuatedDataCentres, clock.monotonic());
        LogEvent.of("evacuation-changed")
                .with("evacuated", evacuatedDataCentres)
                .info();
    }

    private void applyConfig(TrafficConfig next) {
        ConfigVersion known = version();
        if (next.version().compareTo(known) <= 0) {
            return;
        }
        logChangedRates(next);
        config = Optional.of(next);
        placement.configure(next);
        quota.updateAccounts(next.accounts(), clock.monotonic());
        Set<String> names = new HashSet<>();
        next.routes().forEach(r -> names.add(r.name()));
        splits.keySet().retainAll(names);
        LogEvent.of("config-in-force")
                .with("version", next.version())
                .with("before", known)
                .with("routes", next.routes().size())
                .with("accounts", next.accounts().size())
                .info();
    }

    private void logChangedRates(TrafficConfig next) {
        Map<ClientAccountName, AccountPolicy> before = new HashMap<>();
        config.map(TrafficConfig::accounts).orElse(List.of()).forEach(a -> before.put(a.name(), a));
        for (AccountPolicy a : next.accounts()) {
            AccountPolicy old = before.get(a.name());
            if (old == null || old.requestsPerSecond() != a.requestsPerSecond() || old.burst() != a.burst()) {
                LogEvent.of("account-rate")
                        .with("account", a.name())
                        .with("per-second", a.requestsPerSecond())
                        .with("burst", a.burst())
                        .with("config", next.version())
                        .info();
            }
        }
    }

    /**
     * Applies a complete listing of the backend servers' entries.
     *
     * @param batch all entries
     * @param reappearanceDeadline time until which missing entries may reappear after an outage of the store, or empty if
     *     there was no recent outage
     * @param outdated true if the store was restored from an older copy and may list servers that have left since
     */
    public void applyServerSnapshot(RecordBatch batch, Optional<MonotonicTime> reappearanceDeadline, boolean outdated) {
        MonotonicTime now = clock.monotonic();
        List<RegisteredServer> listed = batch.records().stream()
                .filter(r -> r instanceof StoreRecord.Server)
                .map(r -> ((StoreRecord.Server) r).server())
                .toList();
        List<RegisteredServer> present = outdated ? registry.withoutDeparted(listed) : listed;
        if (present.size() < listed.size()) {
            LogEvent.of("outdated-entries-ignored")
                    .with("servers", listed.size() - present.size())
                    .with("store-version", batch.version())
                    .info();
        }
        logRemovals(
                registry.replaceAll(present, reappearanceDeadline, now),
                "missing from a complete listing",
                reappearanceDeadline,
                batch.version());
        batch.records().forEach(r -> {
            if (!(r instanceof StoreRecord.Server)) {
                applyServerRecord(r);
            }
        });
        serversKnown = true;
        updatePlacementServers(now);
    }

    /**
     * Applies changes of the backend servers' entries.
     *
     * @param batch the changed entries
     * @param reappearanceDeadline time until which missing entries may reappear after an outage of the store, or empty if
     *     there was no recent outage
     */
    public void applyServerChanges(RecordBatch batch, Optional<MonotonicTime> reappearanceDeadline) {
        if (batch.records().isEmpty()) {
            return;
        }
        MonotonicTime now = clock.monotonic();
        Map<BackendServerName, StoreRecord> last = new HashMap<>();
        for (StoreRecord r : batch.records()) {
            switch (r) {
                case StoreRecord.Server s -> last.put(s.server().name(), r);
                case StoreRecord.ServerGone g -> last.put(g.name(), r);
                case StoreRecord.ServerUnreadable u -> last.put(u.name(), r);
                default -> logIgnoredRecord(r);
            }
        }
        last.values().forEach(this::applyServerRecord);
        List<BackendServerName> gone = last.values().stream()
                .filter(r -> r instanceof StoreRecord.ServerGone)
                .map(r -> ((StoreRecord.ServerGone) r).name())
                .toList();
        logRemovals(
                registry.removeAll(gone, reappearanceDeadline, now),
                "entry removed",
                reappearanceDeadline,
                batch.version());
        updatePlacementServers(now);
    }

    private void applyServerRecord(StoreRecord r) {
        if (r instanceof StoreRecord.Server(RegisteredServer s)) {
            boolean accepted = registry.put(s);
            LogEvent.of("server-entry")
                    .with("server", s.name())
                    .with("incarnation", s.incarnation())
                    .with("service", s.service())
                    .with("endpoint", s.endpoint())
                    .with("draining", s.draining())
                    .with("cold-ms", s.coldRemaining().toMillis())
                    .with("taken", accepted)
                    .info();
        } else if (r instanceof StoreRecord.ServerUnreadable u) {
            registry.remove(u.name());
            LogEvent.of("server-entry-unreadable")
                    .with("server", u.name())
                    .with("why", u.reason())
                    .warn();
        } else if (!(r instanceof StoreRecord.ServerGone)) {
            logIgnoredRecord(r);
        }
    }

    private static void logRemovals(
            ServerRegistry.Removals removals,
            String why,
            Optional<MonotonicTime> reappearanceDeadline,
            long storeVersion) {
        boolean storeDisturbed = reappearanceDeadline.isPresent();
        logRemovedServers(removals.removed(), why, storeDisturbed);
        removals.deferred()
                .forEach(n -> LogEvent.of("server-removal-deferred")
                        .with("server", n)
                        .with("why", why)
                        .with("store-disturbed", storeDisturbed)
                        .with("store-version", storeVersion)
                        .info());
    }

    private static void logRemovedServers(List<BackendServerName> names, String why, boolean storeDisturbed) {
        names.forEach(n -> LogEvent.of("server-gone")
                .with("server", n)
                .with("why", why)
                .with("store-disturbed", storeDisturbed)
                .info());
    }

    private static void logIgnoredRecord(StoreRecord r) {
        if (r instanceof StoreRecord.Ignored(String key, String why) && !why.isEmpty()) {
            LogEvent.of("record-ignored").with("key", key).with("why", why).warn();
        }
    }

    /**
     * Records that an idle connection was closed by a server before its idle timeout, as it is when the server restarts.
     *
     * @param server the server
     */
    public void suspectRestart(RegisteredServer server) {
        placement.suspectRestart(server.name(), clock.monotonic());
    }

    /**
     * Applies the rate of requests that a server states in an answer.
     *
     * @param server the server
     * @param statement the statement
     */
    public void recordRate(RegisteredServer server, RateStatement statement) {
        switch (statement) {
            case RateStatement.Limited l -> recordLimit(server, OptionalDouble.of(l.perSecond()));
            case RateStatement.Unlimited u -> recordLimit(server, OptionalDouble.empty());
            case RateStatement.Unreadable u ->
                LogEvent.of("server-limit-unreadable")
                        .with("server", server.name())
                        .with("value", u.value())
                        .warn();
        }
    }

    private void recordLimit(RegisteredServer server, OptionalDouble perSecond) {
        logLimitChange(server.name(), placement.limits().recordAnswer(server, perSecond, clock.monotonic()), "answer");
    }

    /**
     * Applies the limit of a backend server that another VM has reported.
     *
     * @param vm the reporting VM
     * @param report the report
     */
    public void applyLimitReport(VmName vm, ServerLimits.Report report) {
        if (registry.find(report.server()).isPresent()) {
            logLimitChange(report.server(), placement.limits().applyReport(report, clock.monotonic()), vm.value());
        }
    }

    /**
     * Returns whether other VMs should receive a report at once.
     *
     * @return true if an account is near its limit, the limit of a server has changed or a server has crashed
     */
    public boolean isReportDue() {
        return quota.isReportDue() || placement.limits().isReportDue() || suspects.isReportDue();
    }

    /**
     * Records that a backend server has crashed.
     *
     * @param server the server
     * @param requests the local VM's requests that were in flight there
     */
    public void recordServerCrash(RegisteredServer server, List<RequestFingerprint> requests) {
        LogEvent.of("server-crashed")
                .with("server", server.name())
                .with("incarnation", server.incarnation())
                .with("in-flight", requests.size())
                .warn();
        MonotonicTime now = clock.monotonic();
        requests.forEach(r -> SuspectLog.write(
                suspects.recordCrash(server.name(), server.incarnation(), r, now),
                server.name().value()));
    }

    /**
     * Records that a backend server has answered a request, which is then no longer suspected of crashing servers.
     *
     * @param request the request
     */
    void recordRequestAnswered(RequestFingerprint request) {
        if (!suspects.isEmpty()) {
            SuspectLog.write(suspects.recordAnswer(request, clock.monotonic()), "answer");
        }
    }

    /**
     * Applies what another VM has told about a request that was in flight at crashes.
     *
     * @param vm the reporting VM
     * @param report the report
     */
    public void applySuspectReport(VmName vm, SuspectRequest report) {
        SuspectLog.write(suspects.applyReport(report, clock.monotonic()), vm.value());
    }

    /**
     * Returns the requests that were in flight when backend servers crashed.
     *
     * @return the suspects
     */
    public CrashSuspects suspects() {
        return suspects;
    }

    private static void logLimitChange(BackendServerName server, Optional<ServerLimits.Change> change, String source) {
        change.ifPresent(c -> LogEvent.of("server-limit")
                .with("server", server)
                .with("per-second", format(c.after()))
                .with("before", format(c.before()))
                .with("source", source)
                .with("age-ms", c.age().toMillis())
                .info());
    }

    private static String format(OptionalDouble limit) {
        return limit.isPresent() ? Double.toString(limit.getAsDouble()) : "none";
    }

    private void updatePlacementServers(MonotonicTime now) {
        placement.updateServers(registry.servers(), now);
    }

    /**
     * Applies changed limits of the fleet.
     *
     * @param limits the new limits
     */
    public void updateBounds(EdgeSettings.FleetLimits limits) {
        quota.updateTolerance(limits.quotaTolerance());
        config.ifPresent(c -> quota.updateAccounts(c.accounts(), clock.monotonic()));
        retryBudget.updateLimits(limits.retryLimits());
        placement.setMaxShift(limits.maxShift());
    }

    /** Removes the servers whose missing entries did not reappear in time. */
    public void removeExpiredServers() {
        MonotonicTime now = clock.monotonic();
        List<BackendServerName> expired = registry.removeExpired(now);
        if (!expired.isEmpty()) {
            logRemovedServers(expired, "missing entry did not reappear in time", true);
            updatePlacementServers(now);
        }
    }

    /**
     * Updates the other VMs, with which the local VM shares the fleet's limits.
     *
     * @param sharers all other VMs with their data centres
     * @param members names of those that are not lost
     */
    public void updateVms(Map<VmName, DataCentreName> sharers, Set<VmName> members) {
        Map<VmName, RegionName> regions = new HashMap<>();
        sharers.forEach((vm, dc) -> regions.put(vm, placementSettings.region(dc)));
        placement.updateVms(regions);
        quota.updateMembers(members, clock.monotonic());
    }

    /**
     * Updates what is known of the fleet.
     *
     * @param next the knowledge
     */
    public void updateFleet(FleetKnowledge next) {
        if (next.version() == fleet.version()) {
            return;
        }
        MonotonicTime now = clock.monotonic();
        LogEvent.of("fleet-knowledge-changed")
                .with("from", fleet.stateName())
                .with("to", next.stateName())
                .with("vms", next.vms())
                .with("vms-before", fleet.vms())
                .with("version", next.version())
                .with("age-before-ms", now.since(fleet.since()).toMillis())
                .info();
        fleet = next;
        retryBudget.updateFleet(next, now);
    }

    /**
     * Returns what is known of the fleet.
     *
     * @return the knowledge
     */
    public FleetKnowledge fleet() {
        return fleet;
    }

    /**
     * Returns the number of connections that the local VM may open to one server of a service.
     *
     * @param service the service
     * @return the local VM's part of the server's connection limit, at least 1
     */
    public int maxConnections(ServiceName service) {
        int all = config.flatMap(c -> c.service(service))
                .map(s -> s.maxConnections())
                .orElse(Integer.MAX_VALUE);
        return Math.max(1, (int) (USABLE_CONNECTION_SHARE * all * fleet.heldPart()));
    }

    /**
     * Selects a service for a request by the weights of its route.
     *
     * @param route the route
     * @return the selected service
     */
    public ServiceName selectService(TrafficRoute route) {
        if (route.parts().size() == 1) {
            return route.parts().getFirst().service();
        }
        WeightedSplit split = splits.get(route.name());
        if (split == null || !split.parts().equals(route.parts())) {
            split = new WeightedSplit(route.parts(), random.nextDouble());
            splits.put(route.name(), split);
        }
        return split.next();
    }

    /**
     * Returns the evacuated data centres, whose servers receive no requests.
     *
     * @return a copy of the set
     */
    public Set<DataCentreName> evacuatedDataCentres() {
        return Set.copyOf(evacuatedDataCentres);
    }

    /**
     * Returns the configuration in force.
     *
     * @return the configuration, or empty if none has been read yet
     */
    public Optional<TrafficConfig> config() {
        return config;
    }

    /**
     * Returns the version of the configuration in force.
     *
     * @return the version, {@link ConfigVersion#NONE} if none has been read yet
     */
    public ConfigVersion version() {
        return config.map(TrafficConfig::version).orElse(ConfigVersion.NONE);
    }

    /**
     * Returns whether requests can be served.
     *
     * @return true once the configuration and the backend servers have been read
     */
    public boolean isReady() {
        return config.isPresent() && serversKnown;
    }

    /**
     * Returns the selection of backend servers.
     *
     * @return the placement
     */
    public Placement placement() {
        return placement;
    }

    /**
     * Returns the rate limits of client accounts.
     *
     * @return the quota
     */
    public FleetQuota quota() {
        return quota;
    }

    /**
     * Returns the budget for retries.
     *
     * @return the budget
     */
    public FleetRetryBudget retryBudget() {
        return retryBudget;
    }

    /**
     * Returns a registered backend server.
     *
     * @param name name of the server
     * @return its latest entry, or empty if it is not registered
     */
    public Optional<RegisteredServer> server(BackendServerName name) {
        return registry.find(name);
    }

    /**
     * Returns the registered backend servers.
     *
     * @return the latest entry of each server
     */
    public Collection<RegisteredServer> servers() {
        return registry.servers();
    }
}
