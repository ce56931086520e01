package org.lycheetray.measure.routing;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.SplittableRandom;

/** Policies without an owner: each entry VM chooses a backend server of its region by what it believes of it. */
final class LaggingPolicy implements Policy {
    private static final long LAG = Duration.ofSeconds(1).toNanos();

    /** How a VM chooses. */
    enum Choice {
        /** In turn, those that were reported full left out. */
        ROUND_ROBIN,
        /** The less loaded of two random ones, by the last report. */
        TWO_CHOICES,
        /** One that sent this VM a token as a slot became idle, else a random one. */
        IDLE_TOKENS
    }

    private final World world;
    private final Choice choice;
    private final SplittableRandom random;
    private final int[] reported;
    private final int[] next;
    private final List<ArrayDeque<World.Server>> tokens = new ArrayList<>();

    LaggingPolicy(World world, Choice choice, SplittableRandom random, int vms) {
        this.world = world;
        this.choice = choice;
        this.random = random;
        this.reported = new int[world.servers.length];
        this.next = new int[vms];
        for (int v = 0; v < vms; v++) {
            tokens.add(new ArrayDeque<>());
        }
        if (choice == Choice.IDLE_TOKENS) {
            Arrays.stream(world.servers).forEach(s -> {
                for (int i = 0; i < world.deployment.slots(); i++) {
                    sendToken(s);
                }
            });
        }
        report();
    }

    private void report() {
        for (World.Server s : world.servers) {
            reported[s.index] = world.misleading ? random.nextInt(world.deployment.slots() + 1) : s.load();
        }
        world.timeline.after(LAG, this::report);
    }

    @Override
    public void arrive(Call c) {
        World.Server s = choose(c);
        long delay = world.deployment.delay(c.dataCentre(), s.dataCentre);
        world.timeline.after(
                delay,
                () -> world.submit(s, new World.Job(c.serviceNanos(), () -> {
                    world.timeline.after(delay, () -> c.result().answered(c, s.dataCentre));
                    if (choice == Choice.IDLE_TOKENS && s.load() < world.deployment.slots()) {
                        sendToken(s);
                    }
                })));
    }

    private World.Server choose(Call c) {
        List<World.Server> local = Arrays.stream(world.servers)
                .filter(s -> world.deployment.regionOf(s.dataCentre) == world.deployment.regionOf(c.dataCentre()))
                .toList();
        return switch (choice) {
            case ROUND_ROBIN -> roundRobin(c.vm(), local);
            case TWO_CHOICES -> {
                World.Server a = local.get(random.nextInt(local.size()));
                World.Server b = local.get(random.nextInt(local.size()));
                yield reported[a.index] <= reported[b.index] ? a : b;
            }
            case IDLE_TOKENS -> {
                World.Server s = tokens.get(c.vm()).poll();
                yield s != null ? s : local.get(random.nextInt(local.size()));
            }
        };
    }

    private World.Server roundRobin(int vm, List<World.Server> local) {
        for (int i = 0; i < local.size(); i++) {
            World.Server s = local.get(next[vm]++ % local.size());
            if (reported[s.index] < world.deployment.slots()) {
                return s;
            }
        }
        return local.get(next[vm]++ % local.size());
    }

    private void sendToken(World.Server s) {
        int perRegion = tokens.size() / Deployment.REGIONS;
        int vm = world.deployment.regionOf(s.dataCentre) * perRegion + random.nextInt(perRegion);
        world.timeline.after(
                world.deployment.betweenDataCentres().toNanos(),
                () -> tokens.get(vm).add(s));
    }
}
