package org.lycheetray.edge.exchange;

import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.random.RandomGenerator;
import org.lycheetray.core.allowance.FleetRetryBudget;
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
import org.lycheetray.core.time.Clock;
import org.lycheetray.core.time.MonotonicTime;
import org.lycheetray.core.traffic.AccountPolicy;
import org.lycheetray.core.traffic.TrafficConfig;
import org.lycheetray.core.traffic.TrafficRoute;
import org.lycheetray.daemon.log.LogEvent;
import org.lycheetray.edge.settings.EdgeSettings;
import org.lycheetray.edge.store.Reading;
import org.lycheetray.edge.store.StoreRecord;

/**
 * What this VM believes, and the decisions that rest on it. For the event loop.
 *
 * <p>Versions of the configuration never go back, whichever order they arrive in.
 */
public final class Steering {
    /** Part of a server's connections that the fleet uses: others may be closing, and checks need some. */
    private static final double CONNECTION_SHARE = 0.8;

    private final PlacementSettings placementSettings;
    private final Clock clock;
    private final RandomGenerator random;
    private final ServerRegistry registry = new ServerRegistry();
    private final Placement placement;
    private final FleetQuota quota;
    private final FleetRetryBudget retries;
    private final Map<String, WeightedSplit> splits = new HashMap<>();
    private final Set<DataCentreName> evacuated = new HashSet<>();
    private Optional<TrafficConfig> config = Optional.empty();
    private boolean serversKnown;
    private int vms = 1;

    /**
     * Creates the state of a VM that knows nothing yet.
     *
     * @param settings settings of the VM
     * @param clock the clock
     * @param random breaks ties
     */
    public Steering(EdgeSettings settings, Clock clock, RandomGenerator random) {
        this.clock = clock;
        this.random = random;
        EdgeSettings.Bounds b = settings.bounds();
        this.placementSettings = new PlacementSettings(
                settings.vm(),
                settings.dataCentre(),
                settings.regions(),
                b.coldOverage(),
                b.coldSlack(),
                b.mostShift());
        this.placement = new Placement(placementSettings, random);
        this.quota = new FleetQuota(b.quota());
        this.retries = new FleetRetryBudget(b.retries());
    }

    /**
     * Takes a complete reading of operators' records.
     *
     * @param reading all of them
     */
    public void operatorRecords(Reading reading) {
        operator(reading, true);
    }

    /**
     * Takes changes of operators' records.
     *
     * @param reading the changes
     */
    public void operatorChanges(Reading reading) {
        operator(reading, false);
    }

    private void operator(Reading reading, boolean whole) {
        Set<DataCentreName> before = Set.copyOf(evacuated);
        if (whole) {
            evacuated.clear();
        }
        reading.records().forEach(this::operatorRecord);
        if (!before.equals(evacuated)) {
            evacuationChanged();
        }
    }

    private void operatorRecord(StoreRecord r) {
        switch (r) {
            case StoreRecord.Config c -> configure(c.config());
            case StoreRecord.Evacuate e -> evacuated.add(e.dataCentre());
            case StoreRecord.Restore e -> evacuated.remove(e.dataCentre());
            default -> logIgnored(r);
        }
    }

    private void evacuationChanged() {
        placement.evacuate(evacuated, clock.monotonic());
        LogEvent.of("evacuation-changed").with("evacuated", evacuated).info();
    }

    private void configure(TrafficConfig next) {
        ConfigVersion known = version();
        if (next.version().compareTo(known) <= 0) {
            return;
        }
        logRates(next);
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

    private void logRates(TrafficConfig next) {
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
     * Takes a complete reading of backend servers' entries.
     *
     * @param reading all of them
     * @param doubtful true if the store was disturbed shortly before
     */
    public void serverRecords(Reading reading, boolean doubtful) {
        MonotonicTime now = clock.monotonic();
        List<RegisteredServer> present = reading.records().stream()
                .filter(r -> r instanceof StoreRecord.Server)
                .map(r -> ((StoreRecord.Server) r).server())
                .toList();
        logGone(registry.replaceAll(present, doubtful, now), "missing in a listing", doubtful);
        reading.records().forEach(r -> {
            if (!(r instanceof StoreRecord.Server)) {
                serverChange(r);
            }
        });
        serversKnown = true;
        serversChanged(now);
    }

    /**
     * Takes changes of backend servers' entries.
     *
     * @param reading the changes
     * @param doubtful true if the store was disturbed shortly before
     */
    public void serverChanges(Reading reading, boolean doubtful) {
        if (reading.records().isEmpty()) {
            return;
        }
        MonotonicTime now = clock.monotonic();
        Map<BackendServerName, StoreRecord> last = new HashMap<>();
        for (StoreRecord r : reading.records()) {
            switch (r) {
                case StoreRecord.Server s -> last.put(s.server().name(), r);
                case StoreRecord.ServerGone g -> last.put(g.name(), r);
                case StoreRecord.ServerUnreadable u -> last.put(u.name(), r);
                default -> logIgnored(r);
            }
        }
        last.values().forEach(this::serverChange);
        List<BackendServerName> gone = last.values().stream()
                .filter(r -> r instanceof StoreRecord.ServerGone)
                .map(r -> ((StoreRecord.ServerGone) r).name())
                .toList();
        logGone(registry.removeAll(gone, doubtful, now), "entry removed", doubtful);
        serversChanged(now);
    }

    private void serverChange(StoreRecord r) {
        if (r instanceof StoreRecord.Server(RegisteredServer s)) {
            boolean taken = registry.put(s);
            LogEvent.of("server-entry")
                    .with("server", s.name())
                    .with("incarnation", s.incarnation())
                    .with("service", s.service())
                    .with("endpoint", s.endpoint())
                    .with("draining", s.draining())
                    .with("cold-ms", s.coldRemaining().toMillis())
                    .with("taken", taken)
                    .info();
        } else if (r instanceof StoreRecord.ServerUnreadable u) {
            registry.remove(u.name());
            LogEvent.of("server-entry-unreadable")
                    .with("server", u.name())
                    .with("why", u.why())
                    .warn();
        } else if (!(r instanceof StoreRecord.ServerGone)) {
            logIgnored(r);
        }
    }

    private static void logGone(List<BackendServerName> names, String why, boolean doubtful) {
        names.forEach(n -> LogEvent.of("server-gone")
                .with("server", n)
                .with("why", why)
                .with("store-disturbed", doubtful)
                .info());
    }

    private static void logIgnored(StoreRecord r) {
        if (r instanceof StoreRecord.Ignored(String key, String why) && !why.isEmpty()) {
            LogEvent.of("record-ignored").with("key", key).with("why", why).warn();
        }
    }

    private void serversChanged(MonotonicTime now) {
        placement.updateServers(registry.servers(), now);
    }

    /**
     * Puts changed limits of the fleet into force.
     *
     * @param b the limits
     */
    public void bounds(EdgeSettings.Bounds b) {
        quota.updateTolerance(b.quota());
        config.ifPresent(c -> quota.updateAccounts(c.accounts(), clock.monotonic()));
        retries.updateLimits(b.retries());
        placement.setMaxShift(b.mostShift());
    }

    /** Does what is due by time alone. */
    public void tick() {
        MonotonicTime now = clock.monotonic();
        List<BackendServerName> expired = registry.removeExpired(now);
        if (!expired.isEmpty()) {
            logGone(expired, "entry did not come back", true);
            serversChanged(now);
        }
    }

    /**
     * Sets the other VMs, which share the fleet's limits.
     *
     * @param others the other VMs and their data centres
     */
    public void vms(Map<VmName, DataCentreName> others) {
        vms = others.size() + 1;
        Map<VmName, RegionName> regions = new HashMap<>();
        others.forEach((vm, dc) -> regions.put(vm, placementSettings.region(dc)));
        placement.updateVms(regions);
        retries.updateVmCount(vms);
        quota.updateMembers(others.keySet(), clock.monotonic());
    }

    /**
     * Connections that this VM may have to one server of a service.
     *
     * @param service the service
     * @return its part of what the servers accept
     */
    public int maxConnections(ServiceName service) {
        int all = config.flatMap(c -> c.service(service))
                .map(s -> s.maxConnections())
                .orElse(Integer.MAX_VALUE);
        return Math.max(1, (int) (CONNECTION_SHARE * all / vms));
    }

    /**
     * Deals a request of a route to one of its services.
     *
     * @param route the route
     * @return the service
     */
    public ServiceName service(TrafficRoute route) {
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
     * The configuration in force.
     *
     * @return the configuration, or empty if none is known yet
     */
    public Optional<TrafficConfig> config() {
        return config;
    }

    /**
     * Version of the configuration in force.
     *
     * @return the version, {@link ConfigVersion#NONE} if none is known yet
     */
    public ConfigVersion version() {
        return config.map(TrafficConfig::version).orElse(ConfigVersion.NONE);
    }

    /**
     * Tells whether requests can be served.
     *
     * @return true once configuration and backend servers are known
     */
    public boolean isReady() {
        return config.isPresent() && serversKnown;
    }

    /**
     * Choice of backend servers.
     *
     * @return the placement
     */
    public Placement placement() {
        return placement;
    }

    /**
     * Rates of client accounts.
     *
     * @return the quota
     */
    public FleetQuota quota() {
        return quota;
    }

    /**
     * Further attempts.
     *
     * @return the allowance
     */
    public FleetRetryBudget retries() {
        return retries;
    }

    /**
     * Backend servers that exist.
     *
     * @return what they last said
     */
    public Collection<RegisteredServer> servers() {
        return registry.servers();
    }
}
