package org.lycheetray.core.placement;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import java.util.SplittableRandom;
import org.lycheetray.core.model.BackendServerName;
import org.lycheetray.core.model.ConfigVersion;
import org.lycheetray.core.model.DataCentreName;
import org.lycheetray.core.model.Endpoint;
import org.lycheetray.core.model.RegionName;
import org.lycheetray.core.model.ServiceName;
import org.lycheetray.core.model.VmName;
import org.lycheetray.core.registry.RegisteredServer;
import org.lycheetray.core.time.MonotonicTime;
import org.lycheetray.core.traffic.ClientLimits;
import org.lycheetray.core.traffic.RetrySafety;
import org.lycheetray.core.traffic.TrafficConfig;
import org.lycheetray.core.traffic.TrafficRoute;
import org.lycheetray.core.traffic.TrafficService;
import org.lycheetray.core.traffic.WeightedService;

/**
 * Simulates a fleet of VMs, each with its own {@link Placement}, under a given load.
 *
 * <p>Servers process a request faster if they have its object cached, queue a limited number of requests and shed the
 * rest. A refused caller retries once.
 */
final class FleetSimulation {
    private static final ServiceName SERVICE = new ServiceName("svc");
    private static final double NANOS_PER_MS = 1e6;

    /** Parameters of the simulated fleet and its load. */
    record Load(
            List<Integer> serversPerRegion,
            int vmsPerRegion,
            int slots,
            double workMs,
            double targetMs,
            double deadlineMs,
            double timeoutMs,
            double requestsPerSecondAndRegion,
            double amplitude,
            int objectsPerRegion,
            int cachedObjectsPerServer,
            double burstFactor,
            double burstFromS,
            double burstToS,
            double durationS,
            double maxShift) {}

    /** Counters of a simulation. */
    static final class Result {
        int requests;
        int inTarget;
        int late;
        int refused;
        int cacheHits;
        int runs;
        int crossRegion;
        int shed;
        final Map<Integer, double[]> creditBySecond = new HashMap<>();
        final double[][] byRegion = new double[3][2];
        final List<double[]> sends = new ArrayList<>();

        /** Returns the maximum fraction of a region's requests that moved between consecutive windows of 2 s. */
        double maxShift() {
            double max = 0;
            for (int r = 0; r < byRegion.length; r++) {
                for (double t = 0; t < 28_000; t += 500) {
                    max = Math.max(max, shift(r, t));
                }
            }
            return max;
        }

        private double shift(int region, double fromMs) {
            double[] a = new double[byRegion.length];
            double[] b = new double[byRegion.length];
            double na = 0;
            double nb = 0;
            for (double[] s : sends) {
                if (s[1] == region && s[0] >= fromMs && s[0] < fromMs + 4_000) {
                    if (s[0] < fromMs + 2_000) {
                        a[(int) s[2]]++;
                        na++;
                    } else {
                        b[(int) s[2]]++;
                        nb++;
                    }
                }
            }
            double moved = 0;
            for (int i = 0; i < a.length; i++) {
                moved += Math.max(0, b[i] / Math.max(1, nb) - a[i] / Math.max(1, na));
            }
            return na < 20 || nb < 20 ? 0 : moved;
        }

        double credit() {
            return (inTarget + 0.2 * late) / requests;
        }

        double credit(int fromS, int toS) {
            double got = 0;
            double all = 0;
            for (Map.Entry<Integer, double[]> e : creditBySecond.entrySet()) {
                if (e.getKey() >= fromS && e.getKey() < toS) {
                    got += e.getValue()[0];
                    all += e.getValue()[1];
                }
            }
            return got / all;
        }

        double cacheHitShare() {
            return (double) cacheHits / runs;
        }

        @Override
        public String toString() {
            return "requests=%d credit=%.3f target=%d late=%d refused=%d hits=%.3f cross=%.3f shed=%d regions=%.2f/%.2f/%.2f"
                    .formatted(
                            requests,
                            credit(),
                            inTarget,
                            late,
                            refused,
                            cacheHitShare(),
                            (double) crossRegion / runs,
                            shed,
                            byRegion[0][0] / byRegion[0][1],
                            byRegion[1][0] / byRegion[1][1],
                            byRegion[2][0] / byRegion[2][1]);
        }
    }

    private final class Server {
        private final RegisteredServer entry;
        private final int region;
        private final ArrayDeque<Call> queue = new ArrayDeque<>();
        private final LinkedHashMap<String, Boolean> cachedObjects = new LinkedHashMap<>(16, 0.75f, true);
        private int running;

        Server(String name, int region) {
            this.region = region;
            this.entry = new RegisteredServer(
                    new BackendServerName(name),
                    1,
                    1,
                    SERVICE,
                    new Endpoint("127.0.0.1", 8080),
                    dc(region),
                    load.slots(),
                    false,
                    Duration.ZERO);
        }

        void accept(Call c) {
            if (running < load.slots()) {
                run(c);
            } else if (queue.size() < load.slots() * 3) {
                queue.add(c);
            } else {
                result.shed++;
                schedule(c.networkDelayMs(), () -> c.ended(false, report()));
            }
        }

        private void run(Call c) {
            running++;
            boolean hit = cachedObjects.put(c.object, true) != null;
            if (cachedObjects.size() > load.cachedObjectsPerServer()) {
                cachedObjects.remove(cachedObjects.keySet().iterator().next());
            }
            result.runs++;
            result.cacheHits += hit ? 1 : 0;
            result.crossRegion += region == c.vm.region ? 0 : 1;
            result.sends.add(new double[] {nowMs, c.vm.region, region});
            double factor = Math.max(0.3, 1 + 0.15 * random.nextGaussian());
            schedule(load.workMs() * factor * (hit ? 0.3 : 1), () -> done(c));
        }

        private void done(Call c) {
            running--;
            ReportedLoad l = report();
            schedule(c.networkDelayMs(), () -> c.ended(true, l));
            while (running < load.slots() && !queue.isEmpty()) {
                run(queue.poll());
            }
        }

        private ReportedLoad report() {
            return new ReportedLoad(running, queue.size(), load.slots());
        }
    }

    private final class Vm {
        private final int region;
        private final Placement placement;
        private final List<Call> waiting = new ArrayList<>();

        Vm(int region, int number) {
            this.region = region;
            Map<DataCentreName, RegionName> regions = new HashMap<>();
            for (int r = 0; r < load.serversPerRegion().size(); r++) {
                regions.put(dc(r), new RegionName("region-" + r));
            }
            placement = new Placement(
                    new PlacementSettings(
                            new VmName("vm-" + region + "-" + number), dc(region), regions, 1.5, 5, load.maxShift()),
                    new SplittableRandom(region * 10L + number));
        }

        void retryWaiting() {
            new ArrayList<>(waiting).forEach(Call::place);
        }
    }

    private final class Call {
        private final Vm vm;
        private final String object;
        private final double firstSentMs;
        private final boolean isRetry;
        private final PlacementRequest request;
        private final Set<BackendServerName> tried = new HashSet<>();
        private Server server;
        private PlacementDecision.Send send;
        private double sentMs;
        private boolean isFinished;

        Call(Vm vm, String object, double firstSentMs, boolean isRetry) {
            this.vm = vm;
            this.object = object;
            this.firstSentMs = firstSentMs;
            this.isRetry = isRetry;
            double left = firstSentMs + load.deadlineMs() - nowMs;
            MonotonicTime now = now();
            request = new PlacementRequest(
                    route,
                    SERVICE,
                    Optional.of(object),
                    Set.of(),
                    now,
                    now.plus(ms(load.targetMs())),
                    now.plus(ms(Math.min(left, load.timeoutMs()))),
                    tried);
        }

        double networkDelayMs() {
            return server.region == vm.region ? 1.4 : 12;
        }

        void place() {
            if (isFinished) {
                return;
            }
            switch (vm.placement.decide(request, now())) {
                case PlacementDecision.Send s -> {
                    vm.waiting.remove(this);
                    server = servers.get(s.name());
                    send = s;
                    vm.placement.recordStart(request, s, now());
                    tried.add(s.name());
                    sentMs = nowMs;
                    schedule(networkDelayMs(), () -> server.accept(this));
                }
                case PlacementDecision.Hold h -> {
                    if (!vm.waiting.contains(this)) {
                        vm.waiting.add(this);
                    }
                }
                case PlacementDecision.Refuse r -> {
                    vm.waiting.remove(this);
                    refused((double) r.retryAfter().toMillis());
                }
            }
        }

        private void refused(double retryMs) {
            isFinished = true;
            double left = firstSentMs + load.deadlineMs() - nowMs;
            if (isRetry || left < 100) {
                score(0);
                result.refused++;
                return;
            }
            schedule(Math.min(retryMs, left / 3), () -> new Call(vm(vm.region), object, firstSentMs, true).place());
        }

        void ended(boolean ran, ReportedLoad l) {
            Duration took = ms(nowMs - sentMs);
            vm.placement.recordReportedLoad(server.entry.name(), l, now());
            vm.placement.recordEnd(
                    request, send, ran ? new AttemptOutcome.Answered(took) : new AttemptOutcome.Shed(), now());
            if (!isFinished) {
                if (ran) {
                    isFinished = true;
                    boolean timely = nowMs - firstSentMs <= load.targetMs();
                    result.inTarget += timely ? 1 : 0;
                    result.late += timely ? 0 : 1;
                    score(timely ? 1 : 0.2);
                } else if (tried.size() < 2) {
                    place();
                } else {
                    refused(150);
                }
            }
            vm.retryWaiting();
        }

        private void score(double credit) {
            double[] cell = result.creditBySecond.computeIfAbsent((int) (firstSentMs / 1_000), k -> new double[2]);
            cell[0] += credit;
            cell[1]++;
            result.byRegion[vm.region][0] += credit;
            result.byRegion[vm.region][1]++;
            result.requests++;
        }
    }

    private record Event(double atMs, long number, Runnable action) {}

    private final Load load;
    private final Random random;
    private final TrafficRoute route;
    private final Result result = new Result();
    private final Map<BackendServerName, Server> servers = new HashMap<>();
    private final List<List<Vm>> vms = new ArrayList<>();
    private final PriorityQueue<Event> events =
            new PriorityQueue<>(Comparator.comparingDouble(Event::atMs).thenComparingLong(Event::number));
    private double nowMs;
    private long eventNumber;

    private FleetSimulation(Load load, long seed) {
        this.load = load;
        this.random = new Random(seed);
        this.route = new TrafficRoute(
                "r",
                "h",
                "/",
                List.of(new WeightedService(SERVICE, 1)),
                RetrySafety.REPEATABLE,
                ms(load.timeoutMs()),
                ms(load.targetMs()),
                2,
                2,
                true,
                false,
                Set.of());
    }

    /**
     * Runs a simulation.
     *
     * @param load parameters of the fleet and its load
     * @param seed seed of the random numbers
     * @return the counters of the simulation
     */
    static Result simulate(Load load, long seed) {
        return new FleetSimulation(load, seed).run();
    }

    private Result run() {
        int number = 0;
        for (int r = 0; r < load.serversPerRegion().size(); r++) {
            for (int i = 0; i < load.serversPerRegion().get(r); i++) {
                Server s = new Server("i-%04x".formatted(random.nextInt(1 << 16)) + number++, r);
                servers.put(s.entry.name(), s);
            }
        }
        for (int r = 0; r < load.serversPerRegion().size(); r++) {
            List<Vm> list = new ArrayList<>();
            for (int i = 0; i < load.vmsPerRegion(); i++) {
                Vm vm = new Vm(r, i);
                vm.placement.configure(config());
                vm.placement.updateServers(
                        servers.values().stream().map(s -> s.entry).toList(), now());
                list.add(vm);
                schedulePeriodically(25, vm::retryWaiting);
            }
            vms.add(list);
            scheduleArrivals(r);
        }
        while (!events.isEmpty() && events.peek().atMs() < (load.durationS() + 5) * 1_000) {
            Event e = events.poll();
            nowMs = e.atMs();
            e.action().run();
        }
        return result;
    }

    private void schedulePeriodically(double periodMs, Runnable action) {
        schedule(periodMs, () -> {
            action.run();
            schedulePeriodically(periodMs, action);
        });
    }

    private void scheduleArrivals(int region) {
        double s = nowMs / 1_000;
        if (s >= load.durationS()) {
            return;
        }
        double wave = 1 + load.amplitude() * Math.sin(2 * Math.PI * (s / 36 + region / 3.0));
        double burst = s >= load.burstFromS() && s < load.burstToS() ? load.burstFactor() : 1;
        double rate = load.requestsPerSecondAndRegion() * wave * burst;
        schedule(-Math.log(1 - random.nextDouble()) / rate * 1_000, () -> {
            String object = region + "-" + random.nextInt(load.objectsPerRegion());
            new Call(vm(region), object, nowMs, false).place();
            scheduleArrivals(region);
        });
    }

    private Vm vm(int region) {
        return vms.get(region).get(random.nextInt(load.vmsPerRegion()));
    }

    private TrafficConfig config() {
        return new TrafficConfig(
                new ConfigVersion(1),
                List.of(route),
                List.of(new TrafficService(SERVICE, "/health", 300, Duration.ofSeconds(3), 4)),
                ClientLimits.INITIAL,
                Optional.empty());
    }

    private void schedule(double delayMs, Runnable action) {
        events.add(new Event(nowMs + delayMs, eventNumber++, action));
    }

    private MonotonicTime now() {
        return new MonotonicTime((long) (nowMs * NANOS_PER_MS));
    }

    private static Duration ms(double ms) {
        return Duration.ofNanos((long) (ms * NANOS_PER_MS));
    }

    private static DataCentreName dc(int region) {
        return new DataCentreName("dc-" + region);
    }
}
