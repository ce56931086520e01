package org.lycheetray.measure.routing;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.stream.IntStream;
import org.lycheetray.core.health.ServerState;
import org.lycheetray.core.health.UsableServer;
import org.lycheetray.core.model.BackendServer;
import org.lycheetray.core.model.BackendServerName;
import org.lycheetray.core.model.ClientAccountName;
import org.lycheetray.core.model.DataCentreName;
import org.lycheetray.core.model.Endpoint;
import org.lycheetray.core.model.Incarnation;
import org.lycheetray.core.model.RegionName;
import org.lycheetray.core.model.ServiceName;
import org.lycheetray.core.model.ShiftCap;
import org.lycheetray.core.model.VmName;
import org.lycheetray.core.regions.RegionCondition;
import org.lycheetray.core.regions.RegionPlan;
import org.lycheetray.core.regions.RegionState;
import org.lycheetray.core.regions.ShiftLimiter;
import org.lycheetray.core.slots.OwnerGeneration;
import org.lycheetray.core.slots.SearchEffect;
import org.lycheetray.core.slots.SlotDecision;
import org.lycheetray.core.slots.SlotLoad;
import org.lycheetray.core.slots.SlotOwner;
import org.lycheetray.core.slots.SlotOwnerSettings;
import org.lycheetray.core.slots.SlotRefusal;
import org.lycheetray.core.slots.SlotRequest;
import org.lycheetray.core.slots.SlotRequestId;
import org.lycheetray.core.slots.SlotRouter;
import org.lycheetray.core.slots.SlotSearch;
import org.lycheetray.core.time.MonotonicTime;

/** The project's own decision classes, joined by messages that take their time. */
final class SteeringPolicy implements Policy {
    static final Duration TIMEOUT = Duration.ofSeconds(2);
    private static final int QUEUE_LIMIT = 200;
    private static final long REPORT_INTERVAL = Duration.ofMillis(500).toNanos();

    private final World world;
    private final List<SlotOwner> owners = new ArrayList<>();
    private final List<VmRouter> vms = new ArrayList<>();
    private final Map<SlotRequestId, Asked> asked = new HashMap<>();
    private final SplittableRandom random;
    private final double requestsPerSecond;
    private long asks;

    private record VmRouter(SlotRouter router, ShiftLimiter limiter, Incarnation self) {}

    private record Asked(Call call, SlotSearch search, int dataCentre, Map<Integer, SlotRequestId> open) {}

    SteeringPolicy(World world, int[] vmDataCentres, ShiftCap cap, double requestsPerSecond, SplittableRandom random) {
        this.world = world;
        this.random = random;
        this.requestsPerSecond = requestsPerSecond;
        for (int d = 0; d < Deployment.DATA_CENTRES; d++) {
            owners.add(owner(d));
        }
        for (int v = 0; v < vmDataCentres.length; v++) {
            vms.add(router(v, vmDataCentres[v], cap));
        }
        report();
    }

    private SlotOwner owner(int d) {
        Incarnation self = new Incarnation(new VmName("owner-" + d), 1);
        SlotOwner owner = SlotOwner.create(
                new OwnerGeneration(1, self),
                SlotOwnerSettings.ofQueueLimit(QUEUE_LIMIT),
                Set.of(),
                TIMEOUT,
                MonotonicTime.ZERO);
        List<UsableServer> usable = IntStream.range(0, world.servers.length)
                .filter(i -> world.servers[i].dataCentre == d)
                .mapToObj(i -> new UsableServer(server(i, d), world.deployment.slots(), ServerState.IN_USE))
                .toList();
        owner.updateServers(usable, MonotonicTime.ZERO);
        return owner;
    }

    private BackendServer server(int i, int d) {
        return new BackendServer(
                new BackendServerName("s" + i),
                new ServiceName("catalogue"),
                name(d),
                new Endpoint("127.0.0.1", 1 + i),
                world.deployment.slots(),
                330);
    }

    private VmRouter router(int vm, int d, ShiftCap cap) {
        Map<DataCentreName, RegionName> regions = new TreeMap<>();
        Map<RegionName, Duration> delays = new TreeMap<>();
        for (int o = 0; o < Deployment.DATA_CENTRES; o++) {
            regions.put(name(o), region(world.deployment.regionOf(o)));
            delays.put(region(world.deployment.regionOf(o)), world.deployment.betweenRegions());
        }
        ShiftLimiter limiter = ShiftLimiter.create(region(world.deployment.regionOf(d)), cap);
        SlotRouter router = SlotRouter.create(name(d), regions, delays, limiter);
        router.updateUsableDataCentres(o -> world.isReachable(d, index(o)));
        return new VmRouter(router, limiter, new Incarnation(new VmName("vm-" + vm), 1));
    }

    /** Owners report their loads to all VMs now and then; a report may mislead. */
    private void report() {
        for (int d = 0; d < Deployment.DATA_CENTRES; d++) {
            SlotLoad load = owners.get(d).load();
            SlotLoad told = world.misleading
                    ? new SlotLoad(load.slots(), random.nextInt(load.slots() + 1), random.nextInt(5))
                    : load;
            DataCentreName from = name(d);
            vms.forEach(v -> v.router().updateLoad(from, told));
            carryOut(d, owners.get(d).tick(now()));
        }
        world.timeline.after(REPORT_INTERVAL, this::report);
    }

    @Override
    public void worldChanged() {
        double capacity = world.regionSlots() / (RoutingRun.MEAN_SERVICE.toNanos() / 1e9);
        double travel = 4.0 * world.deployment.betweenRegions().toNanos();
        double remoteCost = 1 + travel / RoutingRun.MEAN_SERVICE.toNanos();
        int alive = Deployment.REGIONS - world.lost.size();
        Map<RegionName, RegionCondition> conditions = new TreeMap<>();
        for (int r = 0; r < Deployment.REGIONS; r++) {
            RegionState state = world.lost.contains(r)
                    ? RegionState.LOST
                    : world.drained.contains(r) ? RegionState.DRAINING : RegionState.OPEN;
            double demand = world.lost.contains(r) ? 0 : requestsPerSecond / alive;
            conditions.put(region(r), new RegionCondition(state, capacity, demand));
        }
        vms.forEach(v -> v.limiter().updateTarget(RegionPlan.shares(homeOf(v), conditions, remoteCost)));
    }

    private RegionName homeOf(VmRouter v) {
        return region(world.deployment.regionOf(RoutingRun.dataCentreOf(vms.indexOf(v), world.deployment)));
    }

    @Override
    public void arrive(Call c) {
        SlotSearch search =
                vms.get(c.vm()).router().createSearch(Instant.ofEpochMilli(world.timeline.now() / 1_000_000));
        follow(c, search, new HashMap<>(), search.start());
    }

    private void follow(Call c, SlotSearch search, Map<Integer, SlotRequestId> open, List<SearchEffect> effects) {
        for (SearchEffect e : effects) {
            switch (e) {
                case SearchEffect.RequestSlot a -> ask(c, search, open, a);
                case SearchEffect.Withdraw w -> release(c, index(w.dataCentre()), open.get(index(w.dataCentre())));
                case SearchEffect.Run r -> run(c, index(r.dataCentre()), r.grant());
                case SearchEffect.GiveUp g -> c.result().refused(c, hasRoom(c));
            }
        }
    }

    private void ask(Call c, SlotSearch search, Map<Integer, SlotRequestId> open, SearchEffect.RequestSlot a) {
        int d = index(a.dataCentre());
        SlotRequestId id = new SlotRequestId(vms.get(c.vm()).self(), asks++);
        open.put(d, id);
        asked.put(id, new Asked(c, search, d, open));
        Duration left = TIMEOUT.minusNanos(world.timeline.now() - c.enteredAt());
        SlotRequest ask = new SlotRequest(id, new ClientAccountName("account"), 1, left, a.mode(), Set.of());
        long delay = world.deployment.delay(c.dataCentre(), d);
        world.timeline.after(delay, () -> {
            if (world.isReachable(c.dataCentre(), d)) {
                carryOut(d, owners.get(d).requestSlot(ask, now()));
            } else {
                world.timeline.after(
                        delay, () -> answer(new SlotDecision.Refused(id, SlotRefusal.NOT_OWNER, SlotLoad.NONE)));
            }
        });
    }

    private void carryOut(int d, List<SlotDecision> effects) {
        for (SlotDecision e : effects) {
            Asked a = asked.get(e.id());
            if (a != null) {
                world.timeline.after(world.deployment.delay(d, a.call().dataCentre()), () -> answer(e));
            }
        }
    }

    private void answer(SlotDecision e) {
        Asked a = asked.remove(e.id());
        if (a == null) {
            return;
        }
        DataCentreName from = name(a.dataCentre());
        List<SearchEffect> next = switch (e) {
            case SlotDecision.Granted g -> a.search().granted(from, g);
            case SlotDecision.Refused r -> a.search().refused(from, r.reason(), r.load());
        };
        follow(a.call(), a.search(), a.open(), next);
    }

    private void run(Call c, int d, SlotDecision.Granted grant) {
        World.Server s =
                world.servers[Integer.parseInt(grant.server().name().value().substring(1))];
        long delay = world.deployment.delay(c.dataCentre(), d);
        world.timeline.after(
                delay,
                () -> world.submit(s, new World.Job(c.serviceNanos(), () -> {
                    world.timeline.after(delay, () -> {
                        c.result().answered(c, d);
                        release(c, d, grant.id());
                    });
                })));
    }

    /** Whether a slot that is not granted exists where the request could have gone. */
    private boolean hasRoom(Call c) {
        return IntStream.range(0, Deployment.DATA_CENTRES)
                .anyMatch(d -> world.takesWorkFrom(c.dataCentre(), d)
                        && owners.get(d).load().idle() > 0);
    }

    private void release(Call c, int d, SlotRequestId id) {
        long delay = world.deployment.delay(c.dataCentre(), d);
        world.timeline.after(delay, () -> carryOut(d, owners.get(d).release(id, now())));
    }

    private MonotonicTime now() {
        return new MonotonicTime(world.timeline.now());
    }

    private static DataCentreName name(int d) {
        return new DataCentreName("d" + d);
    }

    private static int index(DataCentreName d) {
        return Integer.parseInt(d.value().substring(1));
    }

    private static RegionName region(int r) {
        return new RegionName("r" + r);
    }
}
