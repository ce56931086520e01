package org.lycheetray.core.placement;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.random.RandomGenerator;
import org.lycheetray.core.model.BackendServerName;
import org.lycheetray.core.model.DataCentreName;
import org.lycheetray.core.model.RegionName;
import org.lycheetray.core.model.ServiceName;
import org.lycheetray.core.model.VmName;
import org.lycheetray.core.placement.internal.Candidate;
import org.lycheetray.core.placement.internal.FirstRanked;
import org.lycheetray.core.placement.internal.ServerState;
import org.lycheetray.core.placement.internal.WorkTimes;
import org.lycheetray.core.registry.RegisteredServer;
import org.lycheetray.core.slots.RendezvousHash;
import org.lycheetray.core.time.MonotonicTime;
import org.lycheetray.core.traffic.TrafficConfig;
import org.lycheetray.core.traffic.TrafficRoute;
import org.lycheetray.core.traffic.TrafficService;

/**
 * Chooses the backend server for a request by the time that it is expected to take there.
 *
 * <p>The expected time is the wait for a slot, the work, which is much shorter where the object is known, and the cost
 * of distance. Every VM ranks the servers for an object alike, so that all send it to the same few. A request is sent
 * only where it can be expected to start soon; otherwise it is held, and refused as soon as holding it longer is of no
 * use. For one thread.
 */
public final class Placement {
    /** Cost of leaving the data centre, as a part of the target latency: bytes between data centres have a price. */
    private static final double OTHER_DATA_CENTRE = 0.05;

    /** Cost of leaving the region, as a part of the target latency. */
    private static final double OTHER_REGION = 0.2;

    /**
     * Part of the extra work of an unknown object that counts against a server that is not ranked first for it in its
     * region: more than the work itself, since the server forgets another object for it.
     */
    private static final double UNKNOWN_COST = 1.5;

    /** The same for the server that is ranked first for the object in another region. */
    private static final double UNKNOWN_COST_FIRST_ELSEWHERE = 0.25;

    /** Part of the target latency that a request may be held without prospects. */
    private static final double HOLD_SHARE = 0.1;

    /** Retry-After when no server exists or may be used: they come back within seconds. */
    private static final Duration NO_SERVER_RETRY = Duration.ofSeconds(1);

    /** Shortest Retry-After: a server with a queue has room again in about this time. */
    private static final Duration LEAST_RETRY = Duration.ofMillis(100);

    /** Part of a cold server's limit that is used. */
    private static final double COLD_SAFETY = 0.9;

    /** Part of a cold server's slack by which the VMs that may use it at one moment are limited. */
    private static final double COLD_VMS_SHARE = 0.8;

    /** Time after a sign of a new start until the server's entry tells it: one interval between entries. */
    private static final Duration ENTRY_DELAY = Duration.ofMillis(1_500);

    /** Time within which signs of new starts count as one event. */
    private static final Duration ONE_EVENT = Duration.ofMillis(300);

    /** Part of all servers that cannot well start anew at once in several regions: the fault is then this VM's own. */
    private static final double OWN_FAULT_SHARE = 0.3;

    /** Preference for less loaded servers among those with room, as a part of the work. */
    private static final double TIE_BREAK = 0.3;

    /** Random part of a cost, which breaks ties. */
    private static final double JITTER = 0.01;

    /** Plans of shares that are kept: a few for each service, as servers come and go. */
    private static final int REMEMBERED_SHARES = 64;

    /** Usual work of a service to which nothing was sent yet. */
    private static final double DEFAULT_WORK_NANOS = 250e6;

    /** Weight of a request in the usual work of its service, by which waits are estimated. */
    private static final double USUAL_SAMPLE = 0.05;

    private final PlacementSettings settings;
    private final RandomGenerator random;
    private final Map<BackendServerName, ServerState> servers = new HashMap<>();
    private final Map<ServiceName, List<ServerState>> byService = new HashMap<>();
    private final Map<String, WorkTimes> workTimes = new HashMap<>();
    private final Map<ServiceName, Double> usualWork = new HashMap<>();
    private final RegionMoves moves;
    private final Map<RegionName, Double> demand = new HashMap<>();
    private final Map<ShareKey, RegionShares> shares = new LinkedHashMap<>() {
        private static final long serialVersionUID = 1;

        @Override
        protected boolean removeEldestEntry(Map.Entry<ShareKey, RegionShares> eldest) {
            return size() > REMEMBERED_SHARES;
        }
    };
    private Set<DataCentreName> evacuated = Set.of();
    private Map<ServiceName, TrafficService> limits = Map.of();
    private Map<VmName, RegionName> otherVms = Map.of();
    private final Map<BackendServerName, MonotonicTime> suspects = new HashMap<>();

    /**
     * Creates a placement without servers.
     *
     * @param settings what it must know of the fleet
     * @param random breaks ties
     */
    public Placement(PlacementSettings settings, RandomGenerator random) {
        this.settings = settings;
        this.random = random;
        settings.regions().values().forEach(r -> demand.merge(r, 1.0, Double::sum));
        this.moves = new RegionMoves(settings.mostShift());
    }

    /**
     * Takes a new configuration.
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
        limits = Map.copyOf(byName);
        workTimes.keySet().retainAll(names);
    }

    /**
     * Sets the other VMs, which share each server's limits.
     *
     * @param others the other VMs and their regions
     */
    public void vms(Map<VmName, RegionName> others) {
        otherVms = Map.copyOf(others);
    }

    /**
     * Notes a sign that a server may have started anew: until its entry says more it may be cold.
     *
     * @param name the server
     * @param now present time
     */
    public void suspect(BackendServerName name, MonotonicTime now) {
        ServerState s = servers.get(name);
        if (s == null) {
            return;
        }
        s.suspect(now.plus(coldStart(s)).plus(ENTRY_DELAY));
        suspects.values().removeIf(t -> now.since(t).compareTo(ONE_EVENT) > 0);
        suspects.put(name, now);
        long regions = suspects.keySet().stream()
                .map(servers::get)
                .filter(Objects::nonNull)
                .map(ServerState::region)
                .distinct()
                .count();
        if (regions > 1 && suspects.size() > OWN_FAULT_SHARE * servers.size()) {
            suspects.keySet().stream()
                    .map(servers::get)
                    .filter(Objects::nonNull)
                    .forEach(o -> o.trust(now));
        }
    }

    private Duration coldStart(ServerState s) {
        TrafficService service = limits.get(s.server().service());
        return service == null ? Duration.ZERO : service.coldStart();
    }

    /**
     * Sets the data centres whose servers get nothing; servers of those that are taken back may be cold.
     *
     * @param dataCentres their names
     * @param now present time
     */
    public void evacuate(Set<DataCentreName> dataCentres, MonotonicTime now) {
        moves.lift(now);
        servers.values().stream()
                .filter(s -> evacuated.contains(s.server().dataCentre())
                        && !dataCentres.contains(s.server().dataCentre()))
                .forEach(s -> s.suspect(now.plus(coldStart(s)).plus(ENTRY_DELAY)));
        evacuated = Set.copyOf(dataCentres);
    }

    /**
     * Replaces the limit on moves between regions.
     *
     * @param mostShift largest part of the requests that may change their region between two windows
     */
    public void limitMoves(double mostShift) {
        moves.limit(mostShift);
    }

    /**
     * Takes the servers that exist.
     *
     * @param present all of them
     * @param now present time
     */
    public void servers(Collection<RegisteredServer> present, MonotonicTime now) {
        Set<BackendServerName> names = new HashSet<>();
        for (RegisteredServer s : present) {
            names.add(s.name());
            ServerState known = servers.get(s.name());
            if (known != null && isSameLife(known.server(), s)) {
                known.update(s, now);
            } else {
                servers.put(s.name(), new ServerState(s, settings.region(s.dataCentre()), now));
            }
        }
        if (servers.values().stream()
                .anyMatch(s ->
                        !s.server().draining() && !names.contains(s.server().name()))) {
            moves.lift(now);
        }
        servers.keySet().retainAll(names);
        byService.clear();
        servers.values()
                .forEach(s -> byService
                        .computeIfAbsent(s.server().service(), n -> new ArrayList<>())
                        .add(s));
    }

    private static boolean isSameLife(RegisteredServer a, RegisteredServer b) {
        return a.incarnation() == b.incarnation()
                && a.endpoint().equals(b.endpoint())
                && a.service().equals(b.service());
    }

    /**
     * Decides about a request.
     *
     * @param request the request
     * @param now present time
     * @return what to do with it; {@link #started} must follow a {@code Send}
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
        MonotonicTime done = now.plus(Duration.ofNanos((long) (best.queueing() + best.work())));
        if (best.queueing() <= 0 || !request.target().isBefore(done)) {
            return best.send(now);
        }
        return hold(request, best, now);
    }

    private PlacementDecision hold(PlacementRequest request, Candidate best, MonotonicTime now) {
        MonotonicTime latestStart = request.target().plus(Duration.ofNanos((long) -best.work()));
        MonotonicTime patience = request.received().plus(scaled(request.route().targetLatency(), HOLD_SHARE));
        MonotonicTime until = latestStart.isBefore(patience) ? patience : latestStart;
        until = request.end().isBefore(until) ? request.end() : until;
        Duration wait = Duration.ofNanos((long) best.queueing());
        return now.plus(wait).isBefore(until) ? new PlacementDecision.Hold(until) : refuse("no-room", wait);
    }

    private static PlacementDecision refuse(String reason, Duration retryAfter) {
        return new PlacementDecision.Refuse(reason, retryAfter.compareTo(LEAST_RETRY) < 0 ? LEAST_RETRY : retryAfter);
    }

    private PlacementDecision noServer(PlacementRequest request, MonotonicTime now) {
        boolean any = byService.getOrDefault(request.service(), List.of()).stream()
                .anyMatch(s -> isAllowed(s, request)
                        && !request.tried().contains(s.server().name()));
        if (!any) {
            return refuse("no-server", NO_SERVER_RETRY);
        }
        MonotonicTime until = request.received().plus(scaled(request.route().targetLatency(), HOLD_SHARE));
        return !now.isBefore(until) || request.end().isBefore(until)
                ? refuse("no-usable-server", LEAST_RETRY)
                : new PlacementDecision.Hold(until);
    }

    private List<Candidate> candidates(PlacementRequest request, MonotonicTime now) {
        List<ServerState> all = byService.getOrDefault(request.service(), List.of());
        List<ServerState> allowed = new ArrayList<>(all.size());
        for (ServerState s : all) {
            if (isAllowed(s, request) && !request.tried().contains(s.server().name())) {
                allowed.add(s);
            }
        }
        List<ServerState> considered =
                allowed.stream().filter(s -> !s.isPaused(now)).toList();
        List<Candidate> result = new ArrayList<>(considered.size());
        WorkTimes times = times(request.route());
        Set<RegionName> open = openRegions(considered, now);
        Ranking ranking = ranking(request, allowed, considered);
        for (ServerState s : considered) {
            if (!open.contains(s.region())) {
                continue;
            }
            if (!(s.isCold(now) || s.isSuspect(now)) || hasColdToken(s, now)) {
                result.add(candidate(request, s, times, ranking, now));
            }
        }
        return result;
    }

    /** Regions that a request may move to; all of them if it could not be served otherwise. */
    private Set<RegionName> openRegions(List<ServerState> considered, MonotonicTime now) {
        Set<RegionName> all = new HashSet<>();
        considered.forEach(s -> all.add(s.region()));
        Set<RegionName> open = new HashSet<>(all);
        open.removeIf(r -> !moves.isAllowed(r, now));
        return open.isEmpty() ? all : open;
    }

    private boolean isAllowed(ServerState s, PlacementRequest request) {
        return !s.server().draining()
                && !evacuated.contains(s.server().dataCentre())
                && (request.regions().isEmpty() || request.regions().contains(s.region()));
    }

    private boolean hasColdToken(ServerState s, MonotonicTime now) {
        TrafficService service = limits.get(s.server().service());
        if (service == null || service.coldPerSecond() <= 0) {
            return true;
        }
        int users = Math.clamp((int) (COLD_VMS_SHARE * settings.coldSlack()), 1, otherVms.size() + 1);
        if (coldRank(s) >= users) {
            return false;
        }
        double most = COLD_SAFETY * (service.coldPerSecond() * settings.coldOverage() + settings.coldSlack()) - users;
        return s.coldAllowance().has(Math.clamp(most, 0, service.coldPerSecond()) / users, now);
    }

    /** Position of this VM among those that may use a cold server: VMs of its region first, the same order on all. */
    private int coldRank(ServerState s) {
        String server = s.server().name().value();
        boolean near = s.region().equals(settings.region(settings.dataCentre()));
        long own = RendezvousHash.score(server, settings.vm().value()) >>> 1;
        int rank = 0;
        for (Map.Entry<VmName, RegionName> o : otherVms.entrySet()) {
            boolean otherNear = s.region().equals(o.getValue());
            boolean first =
                    otherNear == near ? RendezvousHash.score(server, o.getKey().value()) >>> 1 > own : otherNear;
            rank += first ? 1 : 0;
        }
        return rank;
    }

    /**
     * What all VMs of a region agree on about one request.
     *
     * @param object key of its object; empty if it has none
     * @param planned region whose servers should know the object
     * @param first server of each region that should know it
     */
    private record Ranking(Optional<String> object, RegionName planned, FirstRanked first) {
        boolean isFirst(ServerState s) {
            return object.isPresent() && first.contains(s);
        }

        Familiarity familiarity(ServerState s) {
            if (object.isEmpty()) {
                return Familiarity.UNKNOWN;
            }
            if (s.isWarm(object.get())) {
                return Familiarity.KNOWN;
            }
            return first.contains(s) && s.region().equals(planned) ? Familiarity.LIKELY : Familiarity.UNKNOWN;
        }
    }

    private Ranking ranking(PlacementRequest request, List<ServerState> allowed, List<ServerState> considered) {
        Optional<String> object = request.object().map(o -> objectKey(request));
        return new Ranking(
                object,
                plannedRegion(request.service(), object, allowed),
                new FirstRanked(object.orElse(""), object.isPresent() ? considered : List.of()));
    }

    private Candidate candidate(
            PlacementRequest request, ServerState s, WorkTimes times, Ranking ranking, MonotonicTime now) {
        double slow = s.slowness(now);
        double load = s.load(now);
        int slots = s.server().slots();
        Familiarity f = ranking.familiarity(s);
        double knownWork = times.nanos(Familiarity.KNOWN) * slow;
        double unknownWork = times.nanos(Familiarity.UNKNOWN) * slow;
        double work = times.nanos(f) * slow;
        double cost = work;
        if (ranking.object().isPresent() && f != Familiarity.KNOWN) {
            cost = knownWork + unknownCost(s, ranking) * (unknownWork - knownWork);
        }
        double usual = usualWork.getOrDefault(request.service(), knownWork);
        double wait = Math.max(0, load + 1 - slots) * usual * slow / slots;
        cost += wait + load / slots * TIE_BREAK * knownWork + distance(request.route(), s, ranking.planned());
        cost *= 1 + random.nextDouble() * JITTER;
        return new Candidate(s, cost, wait, work, unknownWork, f);
    }

    private double distance(TrafficRoute route, ServerState s, RegionName planned) {
        double target = route.targetLatency().toNanos();
        if (s.server().dataCentre().equals(settings.dataCentre())) {
            return 0;
        }
        boolean near = s.region().equals(settings.region(settings.dataCentre()))
                || s.region().equals(planned);
        return target * (near ? OTHER_DATA_CENTRE : OTHER_REGION);
    }

    /** Region whose servers should know the request's object; the own one for requests without. */
    private RegionName plannedRegion(ServiceName service, Optional<String> object, List<ServerState> allowed) {
        RegionName own = settings.region(settings.dataCentre());
        if (object.isEmpty() || allowed.isEmpty()) {
            return own;
        }
        Map<RegionName, Integer> slots = new HashMap<>();
        allowed.forEach(s -> slots.merge(s.region(), s.server().slots(), Integer::sum));
        return shares.computeIfAbsent(new ShareKey(service, slots), k -> RegionShares.plan(own, slots, demand))
                .of(object.get());
    }

    private record ShareKey(ServiceName service, Map<RegionName, Integer> slots) {}

    private static double unknownCost(ServerState s, Ranking ranking) {
        if (!ranking.isFirst(s)) {
            return UNKNOWN_COST;
        }
        return s.region().equals(ranking.planned()) ? 0 : UNKNOWN_COST_FIRST_ELSEWHERE;
    }

    private static String objectKey(PlacementRequest request) {
        return request.route().name() + ' ' + request.object().orElse("");
    }

    private WorkTimes times(TrafficRoute route) {
        return workTimes.computeIfAbsent(route.name(), n -> new WorkTimes(route));
    }

    private static Duration scaled(Duration d, double factor) {
        return Duration.ofNanos((long) (d.toNanos() * factor));
    }

    /**
     * Counts a request that is sent.
     *
     * @param request the request
     * @param send the decision to send it
     * @param now present time
     */
    public void started(PlacementRequest request, PlacementDecision.Send send, MonotonicTime now) {
        ServerState s = servers.get(send.name());
        if (s == null) {
            return;
        }
        s.started();
        moves.sent(s.region(), now);
        if (s.isCold(now) || s.isSuspect(now)) {
            s.coldAllowance().take();
        }
        double expected = times(request.route()).nanos(send.familiarity());
        usualWork.merge(request.service(), expected, (a, b) -> a + USUAL_SAMPLE * (b - a));
        if (request.object().isPresent()) {
            s.handled(objectKey(request));
        }
    }

    /**
     * Counts the end of an attempt.
     *
     * @param request the request
     * @param send the decision by which it was sent
     * @param end how it ended
     * @param now present time
     */
    public void ended(PlacementRequest request, PlacementDecision.Send send, AttemptEnd end, MonotonicTime now) {
        ServerState s = servers.get(send.name());
        if (s == null || !isSameLife(s.server(), send.server())) {
            return;
        }
        WorkTimes times = times(request.route());
        boolean unloaded = s.load(now) <= s.server().slots();
        boolean telling = unloaded
                && (send.familiarity() == Familiarity.KNOWN || request.object().isEmpty());
        s.ended(
                end,
                telling ? Optional.of(Duration.ofNanos((long) times.nanos(send.familiarity()))) : Optional.empty(),
                now);
        if (end instanceof AttemptEnd.Broken || end instanceof AttemptEnd.Unreachable) {
            moves.lift(now);
            suspect(send.name(), now);
        }
        if (end instanceof AttemptEnd.Answered a && unloaded) {
            times.sample(send.familiarity(), a.took());
        }
    }

    /**
     * Takes the load that came with an answer.
     *
     * @param name the server
     * @param load the load
     * @param now present time
     */
    public void reported(BackendServerName name, ReportedLoad load, MonotonicTime now) {
        ServerState s = servers.get(name);
        if (s != null) {
            s.reported(load, usualWork.getOrDefault(s.server().service(), DEFAULT_WORK_NANOS), now);
        }
    }
}
