package org.lycheetray.core.placement;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.random.RandomGenerator;
import org.lycheetray.core.allowance.ServerLimits;
import org.lycheetray.core.model.BackendServerName;
import org.lycheetray.core.model.DataCentreName;
import org.lycheetray.core.model.RegionName;
import org.lycheetray.core.model.ServiceName;
import org.lycheetray.core.model.VmName;
import org.lycheetray.core.placement.internal.Candidate;
import org.lycheetray.core.placement.internal.PreferredServers;
import org.lycheetray.core.placement.internal.ProcessingTimes;
import org.lycheetray.core.placement.internal.ServerRates;
import org.lycheetray.core.placement.internal.ServerState;
import org.lycheetray.core.registry.RegisteredServer;
import org.lycheetray.core.time.DurationUtil;
import org.lycheetray.core.time.MonotonicTime;
import org.lycheetray.core.traffic.TrafficConfig;
import org.lycheetray.core.traffic.TrafficRoute;
import org.lycheetray.core.traffic.TrafficService;

/**
 * Selects the backend server for each request by the lowest expected cost.
 *
 * <p>The cost is the sum of the expected wait for a slot, the expected processing time, which is much shorter where the
 * object is cached, and a penalty for network distance. All VMs rank the servers for an object in the same order by
 * rendezvous hashing, so requests for one object reach the same few servers. A request is sent if it can start at once
 * or is expected to finish within its target latency. Otherwise it is held, or refused if no server is expected to have
 * a free slot before the hold limit. Not thread-safe.
 */
public final class Placement {
    /**
     * Cost of using another data centre, as a fraction of the target latency: traffic between data centres is billed.
     */
    private static final double OTHER_DATA_CENTRE_COST = 0.05;

    /** Cost of using another region, as a fraction of the target latency. */
    private static final double OTHER_REGION_COST = 0.2;

    /**
     * Factor on the extra processing time of an uncached object, at servers that are not the preferred ones for it in
     * their region. It is above 1 because caching the object there also evicts another object.
     */
    private static final double CACHE_MISS_COST = 1.5;

    /** The same factor for the preferred server of a region other than the one planned for the object. */
    private static final double CACHE_MISS_COST_PREFERRED_ELSEWHERE = 0.25;

    /** Fraction of the target latency for which a request may be held even if it can no longer be answered in time. */
    private static final double HOLD_SHARE = 0.1;

    /** Retry-After when no server exists or may be used; servers usually return within seconds. */
    private static final Duration NO_SERVER_RETRY_AFTER = Duration.ofSeconds(1);

    /** Minimum Retry-After: a server with a full queue has capacity again after about this time. */
    private static final Duration MIN_RETRY_AFTER = Duration.ofMillis(100);

    /** Time until a restart shows in the server's registry entry: one interval between entry updates. */
    private static final Duration ENTRY_DELAY = Duration.ofMillis(1_500);

    /** Period within which suspected restarts of several servers count as one event. */
    private static final Duration RESTART_EVENT_WINDOW = Duration.ofMillis(300);

    /**
     * Fraction of all servers above which simultaneous suspected restarts in several regions are attributed to a
     * network fault at this VM.
     */
    private static final double LOCAL_FAULT_SHARE = 0.3;

    /** Weight of the load per slot in the cost, as a fraction of the processing time of a cached object. */
    private static final double LOAD_PREFERENCE = 0.3;

    /** Maximum random increase of a cost, as a fraction of it; breaks ties. */
    private static final double JITTER = 0.01;

    /** Maximum number of cached region shares: a few per service, since the set of servers changes over time. */
    private static final int MAX_CACHED_SHARES = 64;

    /** Assumed mean processing time of a service to which no request was sent yet, in nanoseconds. */
    private static final double DEFAULT_WORK_NANOS = 250e6;

    /** Smoothing factor of the mean processing time of a service, from which queueing times are estimated. */
    private static final double MEAN_WORK_SMOOTHING = 0.05;

    private final PlacementSettings settings;
    private final RandomGenerator random;
    private final Map<BackendServerName, ServerState> servers = new HashMap<>();
    private final Map<ServiceName, List<ServerState>> byService = new HashMap<>();
    private final Map<String, ProcessingTimes> processingTimes = new HashMap<>();
    private final Map<ServiceName, Double> meanWork = new HashMap<>();
    private final RegionShiftLimiter shiftLimiter;
    private final Map<RegionName, Double> demand = new HashMap<>();
    private final Map<ShareKey, RegionShares> shares = new LinkedHashMap<>() {
        private static final long serialVersionUID = 1;

        @Override
        protected boolean removeEldestEntry(Map.Entry<ShareKey, RegionShares> eldest) {
            return size() > MAX_CACHED_SHARES;
        }
    };
    private Set<DataCentreName> evacuated = Set.of();
    private Map<ServiceName, TrafficService> servicesByName = Map.of();
    private final ServerRates serverRates;
    private final ServerAvailability availability;
    private final Map<BackendServerName, MonotonicTime> suspectedAt = new HashMap<>();

    /**
     * Creates a placement that knows no servers.
     *
     * @param settings the location of this VM and the limits to apply
     * @param random source of randomness for breaking ties
     */
    public Placement(PlacementSettings settings, RandomGenerator random) {
        this.settings = settings;
        this.random = random;
        settings.regions().values().forEach(r -> demand.merge(r, 1.0, Double::sum));
        this.shiftLimiter = new RegionShiftLimiter(settings.maxShift());
        this.serverRates = new ServerRates(settings);
        this.availability = new ServerAvailability(random);
    }

    /**
     * Applies a new configuration.
     *
     * @param config the configuration in force
     */
    public void configure(TrafficConfig config) {
        Map<ServiceName, TrafficService> byName = new HashMap<>();
        Set<String> names = new HashSet<>();
        config.routes().forEach(r -> {
            names.add(r.name());
            r.parts().forEach(p -> config.service(p.service()).ifPresent(s -> byName.put(s.name(), s)));
        });
        servicesByName = Map.copyOf(byName);
        processingTimes.keySet().retainAll(names);
    }

    /**
     * Replaces the list of other VMs, which share the rates of cold and limited servers with this VM.
     *
     * @param others the other VMs, each with its region
     */
    public void updateVms(Map<VmName, RegionName> others) {
        serverRates.updateVms(others);
    }

    /**
     * Records that a server may have restarted, and treats it as cold until its registry entry is updated.
     *
     * @param name the name of the server
     * @param now current time
     */
    public void suspectRestart(BackendServerName name, MonotonicTime now) {
        ServerState s = servers.get(name);
        if (s == null) {
            return;
        }
        s.suspectCold(now.plus(coldStart(s)).plus(ENTRY_DELAY));
        suspectedAt.values().removeIf(t -> now.since(t).compareTo(RESTART_EVENT_WINDOW) > 0);
        suspectedAt.put(name, now);
        long regions = suspectedAt.keySet().stream()
                .map(servers::get)
                .filter(Objects::nonNull)
                .map(ServerState::region)
                .distinct()
                .count();
        if (regions > 1 && suspectedAt.size() > LOCAL_FAULT_SHARE * servers.size()) {
            suspectedAt.keySet().stream()
                    .map(servers::get)
                    .filter(Objects::nonNull)
                    .forEach(o -> o.clearSuspicion(now));
        }
    }

    /**
     * Forgets the failures of all servers, which were due to the paths of this VM. What servers have said stays in force.
     *
     * @param now current time
     */
    public void clearFaults(MonotonicTime now) {
        suspectedAt.clear();
        servers.values().forEach(s -> s.clearFaults(now));
    }

    private Duration coldStart(ServerState s) {
        return service(s).map(TrafficService::coldStart).orElse(Duration.ZERO);
    }

    private Optional<TrafficService> service(ServerState s) {
        return Optional.ofNullable(servicesByName.get(s.server().service()));
    }

    /**
     * Replaces the set of evacuated data centres, whose servers receive no requests.
     *
     * <p>Servers of data centres that are no longer evacuated are treated as possibly cold.
     *
     * @param dataCentres the names of the evacuated data centres
     * @param now current time
     */
    public void evacuate(Set<DataCentreName> dataCentres, MonotonicTime now) {
        shiftLimiter.suspend(now);
        servers.values().stream()
                .filter(s -> evacuated.contains(s.server().dataCentre())
                        && !dataCentres.contains(s.server().dataCentre()))
                .forEach(s -> s.suspectCold(now.plus(coldStart(s)).plus(ENTRY_DELAY)));
        evacuated = Set.copyOf(dataCentres);
    }

    /**
     * Replaces the limit on how much traffic may shift between regions.
     *
     * @param maxShift maximum fraction of the requests that may change their region from one window to the next
     */
    public void setMaxShift(double maxShift) {
        shiftLimiter.setMaxShift(maxShift);
    }

    /**
     * Replaces the list of registered servers.
     *
     * @param present all servers that currently exist
     * @param now current time
     */
    public void updateServers(Collection<RegisteredServer> present, MonotonicTime now) {
        Set<BackendServerName> names = new HashSet<>();
        for (RegisteredServer s : present) {
            names.add(s.name());
            ServerState known = servers.get(s.name());
            if (known != null && isSameInstance(known.server(), s)) {
                known.update(s, now);
            } else {
                servers.put(s.name(), new ServerState(s, settings.region(s.dataCentre()), now));
            }
        }
        if (servers.values().stream()
                .anyMatch(s ->
                        !s.server().draining() && !names.contains(s.server().name()))) {
            shiftLimiter.suspend(now);
        }
        servers.keySet().retainAll(names);
        serverRates.retainServers(names);
        byService.clear();
        servers.values()
                .forEach(s -> byService
                        .computeIfAbsent(s.server().service(), n -> new ArrayList<>())
                        .add(s));
    }

    private static boolean isSameInstance(RegisteredServer a, RegisteredServer b) {
        return a.incarnation() == b.incarnation()
                && a.endpoint().equals(b.endpoint())
                && a.service().equals(b.service());
    }

    /**
     * Decides whether a request is sent, held or refused.
     *
     * @param request the request
     * @param now current time
     * @return the decision; after a {@code Send} the caller must call {@link #recordStart}
     */
    public PlacementDecision decide(PlacementRequest request, MonotonicTime now) {
        List<Candidate> usable = candidates(request, now);
        if (usable.isEmpty()) {
            return noServer(request, now);
        }
        Candidate best = usable.getFirst();
        for (Candidate c : usable) {
            best = c.cost() < best.cost() ? c : best;
        }
        MonotonicTime done = now.plus(Duration.ofNanos((long) (best.queueNanos() + best.workNanos())));
        if (best.queueNanos() <= 0 || !request.targetTime().isBefore(done)) {
            return best.send(now);
        }
        return hold(request, best, now);
    }

    private PlacementDecision hold(PlacementRequest request, Candidate best, MonotonicTime now) {
        MonotonicTime latestStart = request.targetTime().plus(Duration.ofNanos((long) -best.workNanos()));
        MonotonicTime minHoldUntil =
                request.received().plus(DurationUtil.scaled(request.route().targetLatency(), HOLD_SHARE));
        MonotonicTime until = latestStart.isBefore(minHoldUntil) ? minHoldUntil : latestStart;
        until = request.deadline().isBefore(until) ? request.deadline() : until;
        Duration wait = Duration.ofNanos((long) best.queueNanos());
        return now.plus(wait).isBefore(until) ? new PlacementDecision.Hold(until) : refuse("no-room", wait);
    }

    private static PlacementDecision refuse(String reason, Duration retryAfter) {
        return new PlacementDecision.Refuse(
                reason, retryAfter.compareTo(MIN_RETRY_AFTER) < 0 ? MIN_RETRY_AFTER : retryAfter);
    }

    private PlacementDecision noServer(PlacementRequest request, MonotonicTime now) {
        boolean any =
                byService.getOrDefault(request.service(), List.of()).stream().anyMatch(s -> isEligible(s, request));
        if (!any) {
            return refuse("no-server", NO_SERVER_RETRY_AFTER);
        }
        MonotonicTime until =
                request.received().plus(DurationUtil.scaled(request.route().targetLatency(), HOLD_SHARE));
        Optional<MonotonicTime> pauseEnd = endOfPauses(request, now);
        if (pauseEnd.filter(until::isBefore).isPresent()) {
            return refuse("server-pause", pauseEnd.get().since(now));
        }
        Optional<Duration> limited = timeToLimitedServer(request, now);
        if (limited.isPresent() && until.isBefore(now.plus(limited.get()))) {
            return refuse("server-limit", limited.get());
        }
        return !now.isBefore(until) || request.deadline().isBefore(until)
                ? refuse("no-usable-server", MIN_RETRY_AFTER)
                : new PlacementDecision.Hold(until);
    }

    /** Returns the end of the first pause if all servers have requested a pause. */
    private Optional<MonotonicTime> endOfPauses(PlacementRequest request, MonotonicTime now) {
        List<Optional<MonotonicTime>> ends = byService.getOrDefault(request.service(), List.of()).stream()
                .filter(s -> isUsable(s, request))
                .map(s -> availability.pausedUntil(s.server(), now))
                .toList();
        return ends.stream().allMatch(Optional::isPresent)
                ? ends.stream().flatMap(Optional::stream).min(Comparator.naturalOrder())
                : Optional.empty();
    }

    /**
     * Returns the time until this VM may send a request to one of the limited servers; empty unless the limits of the
     * servers are what prevents it now.
     */
    private Optional<Duration> timeToLimitedServer(PlacementRequest request, MonotonicTime now) {
        List<ServerState> allowed = byService.getOrDefault(request.service(), List.of()).stream()
                .filter(s -> isEligible(s, request) && isOpen(s, now))
                .toList();
        if (allowed.isEmpty() || !allowed.stream().allMatch(s -> serverRates.isLimited(s, now))) {
            return Optional.empty();
        }
        return Optional.of(allowed.stream()
                .flatMap(s -> s.limitRate().timeToToken().stream())
                .min(Comparator.naturalOrder())
                .orElse(NO_SERVER_RETRY_AFTER));
    }

    private List<Candidate> candidates(PlacementRequest request, MonotonicTime now) {
        List<ServerState> all = byService.getOrDefault(request.service(), List.of());
        List<ServerState> allowed = new ArrayList<>(all.size());
        for (ServerState s : all) {
            if (isEligible(s, request)) {
                allowed.add(s);
            }
        }
        List<ServerState> considered =
                allowed.stream().filter(s -> isOpen(s, now)).toList();
        List<Candidate> result = new ArrayList<>(considered.size());
        ProcessingTimes times = times(request.route());
        Set<RegionName> open = openRegions(considered, now);
        Ranking ranking = ranking(request, allowed, considered);
        for (ServerState s : considered) {
            if (!open.contains(s.region())) {
                continue;
            }
            if (serverRates.allows(s, service(s), now)) {
                result.add(candidate(request, s, times, ranking, now));
            }
        }
        return result;
    }

    /** Returns the regions that the shift limit allows, or all regions if it allows none of them. */
    private Set<RegionName> openRegions(List<ServerState> considered, MonotonicTime now) {
        Set<RegionName> all = new HashSet<>();
        considered.forEach(s -> all.add(s.region()));
        Set<RegionName> open = new HashSet<>(all);
        open.removeIf(r -> !shiftLimiter.isAllowed(r, now));
        return open.isEmpty() ? all : open;
    }

    private boolean isOpen(ServerState s, MonotonicTime now) {
        return !s.isPaused(now) && availability.accepts(s.server(), now);
    }

    private boolean isEligible(ServerState s, PlacementRequest request) {
        return !request.tried().contains(s.server().name()) && isUsable(s, request);
    }

    private boolean isUsable(ServerState s, PlacementRequest request) {
        return !s.server().draining()
                && !availability.isLeaving(s.server())
                && !evacuated.contains(s.server().dataCentre())
                && (request.regions().isEmpty() || request.regions().contains(s.region()));
    }

    /**
     * Cache affinity of servers for one request, computed alike by all VMs of a region except for locally known
     * objects.
     *
     * @param object key of the object; empty if the request has none
     * @param plannedRegion region to whose servers requests for the object are sent by preference
     * @param preferred preferred server of each region for the object
     */
    private record Ranking(Optional<String> object, RegionName plannedRegion, PreferredServers preferred) {
        boolean isPreferred(ServerState s) {
            return object.isPresent() && preferred.contains(s);
        }

        CacheAffinity affinity(ServerState s) {
            if (object.isEmpty()) {
                return CacheAffinity.UNKNOWN;
            }
            if (s.hasCached(object.get())) {
                return CacheAffinity.KNOWN;
            }
            return preferred.contains(s) && s.region().equals(plannedRegion)
                    ? CacheAffinity.LIKELY
                    : CacheAffinity.UNKNOWN;
        }
    }

    private Ranking ranking(PlacementRequest request, List<ServerState> allowed, List<ServerState> considered) {
        Optional<String> object = request.object().map(o -> objectKey(request));
        return new Ranking(
                object,
                plannedRegion(request.service(), object, allowed),
                new PreferredServers(object.orElse(""), object.isPresent() ? considered : List.of()));
    }

    private Candidate candidate(
            PlacementRequest request, ServerState s, ProcessingTimes times, Ranking ranking, MonotonicTime now) {
        double slow = s.slowness(now);
        double load = s.load(now);
        int slots = s.server().slots();
        CacheAffinity affinity = ranking.affinity(s);
        double knownWork = times.expectedNanos(CacheAffinity.KNOWN) * slow;
        double unknownWork = times.expectedNanos(CacheAffinity.UNKNOWN) * slow;
        double work = times.expectedNanos(affinity) * slow;
        double cost = work;
        if (ranking.object().isPresent() && affinity != CacheAffinity.KNOWN) {
            cost = knownWork + cacheMissCost(s, ranking) * (unknownWork - knownWork);
        }
        double usual = meanWork.getOrDefault(request.service(), knownWork);
        double wait = Math.max(0, load + 1 - slots) * usual * slow / slots;
        cost += wait
                + load / slots * LOAD_PREFERENCE * knownWork
                + distanceCost(request.route(), s, ranking.plannedRegion());
        cost *= 1 + random.nextDouble() * JITTER;
        return new Candidate(s, cost, wait, work, unknownWork, affinity);
    }

    private double distanceCost(TrafficRoute route, ServerState s, RegionName planned) {
        double target = route.targetLatency().toNanos();
        if (s.server().dataCentre().equals(settings.dataCentre())) {
            return 0;
        }
        boolean localOrPlanned = s.region().equals(settings.region(settings.dataCentre()))
                || s.region().equals(planned);
        return target * (localOrPlanned ? OTHER_DATA_CENTRE_COST : OTHER_REGION_COST);
    }

    /** Returns the region planned for the object of a request, or the local region for requests without an object. */
    private RegionName plannedRegion(ServiceName service, Optional<String> object, List<ServerState> allowed) {
        RegionName localRegion = settings.region(settings.dataCentre());
        if (object.isEmpty() || allowed.isEmpty()) {
            return localRegion;
        }
        Map<RegionName, Integer> slots = new HashMap<>();
        allowed.forEach(s -> slots.merge(s.region(), s.server().slots(), Integer::sum));
        return shares.computeIfAbsent(new ShareKey(service, slots), k -> RegionShares.plan(localRegion, slots, demand))
                .regionOf(object.get());
    }

    private record ShareKey(ServiceName service, Map<RegionName, Integer> slots) {}

    private static double cacheMissCost(ServerState s, Ranking ranking) {
        if (!ranking.isPreferred(s)) {
            return CACHE_MISS_COST;
        }
        return s.region().equals(ranking.plannedRegion()) ? 0 : CACHE_MISS_COST_PREFERRED_ELSEWHERE;
    }

    private static String objectKey(PlacementRequest request) {
        return request.route().name() + ' ' + request.object().orElse("");
    }

    private ProcessingTimes times(TrafficRoute route) {
        return processingTimes.computeIfAbsent(route.name(), n -> new ProcessingTimes(route));
    }

    /**
     * Records that a request was sent.
     *
     * @param request the request
     * @param send the decision by which it was sent
     * @param now current time
     */
    public void recordStart(PlacementRequest request, PlacementDecision.Send send, MonotonicTime now) {
        ServerState s = servers.get(send.name());
        if (s == null) {
            return;
        }
        s.recordStart();
        shiftLimiter.recordSent(s.region(), now);
        serverRates.recordSent(s, now);
        availability.recordSent(s.server(), now);
        double expected = times(request.route()).expectedNanos(send.affinity());
        meanWork.merge(request.service(), expected, (a, b) -> a + MEAN_WORK_SMOOTHING * (b - a));
        if (request.object().isPresent()) {
            s.addCachedObject(objectKey(request));
        }
    }

    /**
     * Records the outcome of an attempt.
     *
     * @param request the request
     * @param send the decision by which it was sent
     * @param outcome the outcome
     * @param now current time
     */
    public void recordEnd(
            PlacementRequest request, PlacementDecision.Send send, AttemptOutcome outcome, MonotonicTime now) {
        ServerState s = servers.get(send.name());
        if (s == null || !isSameInstance(s.server(), send.server())) {
            return;
        }
        ProcessingTimes times = times(request.route());
        boolean unloaded = s.load(now) <= s.server().slots();
        boolean comparable = unloaded
                && (send.affinity() == CacheAffinity.KNOWN || request.object().isEmpty());
        s.recordEnd(
                outcome,
                comparable
                        ? Optional.of(Duration.ofNanos((long) times.expectedNanos(send.affinity())))
                        : Optional.empty(),
                now);
        if (outcome instanceof AttemptOutcome.ConnectionLost || outcome instanceof AttemptOutcome.Unreachable) {
            shiftLimiter.suspend(now);
            suspectRestart(send.name(), now);
        }
        if (outcome instanceof AttemptOutcome.Answered || outcome instanceof AttemptOutcome.ServerError) {
            availability.recordAnswered(s.server(), now);
        }
        if (outcome instanceof AttemptOutcome.Answered a && unloaded) {
            times.record(send.affinity(), a.took());
        }
    }

    /**
     * Applies the load that a server reported with a response.
     *
     * @param name the name of the server
     * @param load the reported load
     * @param now current time
     */
    public void recordReportedLoad(BackendServerName name, ReportedLoad load, MonotonicTime now) {
        ServerState s = servers.get(name);
        if (s != null) {
            s.updateReportedLoad(load, meanWork.getOrDefault(s.server().service(), DEFAULT_WORK_NANOS), now);
        }
    }

    /**
     * Returns the rates to which servers have limited the fleet.
     *
     * @return the limits
     */
    public ServerLimits limits() {
        return serverRates.limits();
    }

    /**
     * Returns which servers have said that they accept no requests.
     *
     * @return the availability of the servers
     */
    public ServerAvailability availability() {
        return availability;
    }
}
