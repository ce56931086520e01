package org.lycheetray.measure.routing;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.function.Function;

/** One run of one policy: requests enter at random and meet the events of a script. */
final class RoutingRun {
    static final Duration MEAN_SERVICE = Duration.ofMillis(50);
    private static final double NANOS_PER_SECOND = 1e9;

    final World world;
    final Results results;
    private final Policy policy;
    private final SplittableRandom random;
    private final double requestsPerSecond;
    private final int vms;

    RoutingRun(Deployment d, double load, long seed, Duration interval, Function<RoutingRun, Policy> policy) {
        this.world = new World(d);
        this.results = new Results(world, interval.toNanos());
        this.random = new SplittableRandom(seed);
        this.requestsPerSecond = load * d.totalSlots() / (MEAN_SERVICE.toNanos() / NANOS_PER_SECOND);
        this.vms = vmDataCentres(d).length;
        this.policy = policy.apply(this);
    }

    static int[] vmDataCentres(Deployment d) {
        List<Integer> all = new ArrayList<>();
        for (int dc = 0; dc < Deployment.DATA_CENTRES; dc++) {
            for (int v = 0; v < d.vmsPerDataCentre().get(dc % 2); v++) {
                all.add(dc);
            }
        }
        return all.stream().mapToInt(Integer::intValue).toArray();
    }

    static int dataCentreOf(int vm, Deployment d) {
        return vmDataCentres(d)[vm];
    }

    double requestsPerSecond() {
        return requestsPerSecond;
    }

    int vms() {
        return vms;
    }

    void at(Duration t, Runnable change) {
        world.timeline.after(t.toNanos(), () -> {
            change.run();
            policy.worldChanged();
        });
    }

    void run(Duration length) {
        next();
        world.timeline.run(length.toNanos());
    }

    private void next() {
        long gap = (long) (-Math.log(1 - random.nextDouble()) / requestsPerSecond * NANOS_PER_SECOND);
        long service = (long) (-Math.log(1 - random.nextDouble()) * MEAN_SERVICE.toNanos());
        int start = random.nextInt(vms);
        world.timeline.after(gap, () -> {
            enter(start, service);
            next();
        });
    }

    /** Callers whose region is lost use an entry VM of another region. */
    private void enter(int start, long service) {
        int vm = start;
        while (world.lost.contains(world.deployment.regionOf(dataCentreOf(vm, world.deployment)))) {
            vm = (vm + vms / Deployment.REGIONS) % vms;
        }
        results.offered++;
        policy.arrive(new Call(vm, dataCentreOf(vm, world.deployment), world.timeline.now(), service, results));
    }
}
