package org.lycheetray.measure.routing;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;

/** Knows every slot at every moment without any message, and keeps one queue per region. */
final class AllKnowingPolicy implements Policy {
    private static final long MEAN_SERVICE = RoutingRun.MEAN_SERVICE.toNanos();

    private final World world;
    private final List<ArrayDeque<Call>> queues = new ArrayList<>();
    private final int[] reserved;

    AllKnowingPolicy(World world) {
        this.world = world;
        this.reserved = new int[world.servers.length];
        for (int r = 0; r < Deployment.REGIONS; r++) {
            queues.add(new ArrayDeque<>());
        }
    }

    @Override
    public void arrive(Call c) {
        int home = world.deployment.regionOf(c.dataCentre());
        long wait = (queues.get(home).size() + 1L) * MEAN_SERVICE / world.regionSlots();
        Optional<World.Server> best = Arrays.stream(world.servers)
                .filter(s -> reserved[s.index] < world.deployment.slots())
                .filter(s -> 2 * world.deployment.delay(c.dataCentre(), s.dataCentre) <= wait
                        || world.deployment.regionOf(s.dataCentre) == home)
                .min(Comparator.comparingLong(s -> world.deployment.delay(c.dataCentre(), s.dataCentre)));
        if (best.isPresent()) {
            run(c, best.get());
        } else {
            queues.get(home).add(c);
        }
    }

    private void run(Call c, World.Server s) {
        reserved[s.index]++;
        long delay = world.deployment.delay(c.dataCentre(), s.dataCentre);
        world.timeline.after(
                delay,
                () -> world.submit(s, new World.Job(c.serviceNanos(), () -> {
                    reserved[s.index]--;
                    world.timeline.after(delay, () -> c.result().answered(c, s.dataCentre));
                    Call next =
                            queues.get(world.deployment.regionOf(s.dataCentre)).poll();
                    if (next != null) {
                        run(next, s);
                    }
                })));
    }
}
