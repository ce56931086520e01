package org.lycheetray.measure.routing;

import java.util.ArrayDeque;
import java.util.Arrays;
import java.util.HashSet;
import java.util.Set;

/** Backend servers as they are, whatever a policy believes of them. */
final class World {
    final Timeline timeline = new Timeline();
    final Deployment deployment;
    final Server[] servers;
    final Set<Integer> lost = new HashSet<>();
    final Set<Integer> drained = new HashSet<>();
    int cutA = -1;
    int cutB = -1;
    boolean misleading;
    double overloadedInstants;

    /** A backend server that runs at most its slots at a time and queues the rest. */
    static final class Server {
        final int index;
        final int dataCentre;
        int running;
        final ArrayDeque<Job> queue = new ArrayDeque<>();

        Server(int index, int dataCentre) {
            this.index = index;
            this.dataCentre = dataCentre;
        }

        int load() {
            return running + queue.size();
        }
    }

    /**
     * Work for a backend server.
     *
     * @param serviceNanos time that it takes
     * @param done called when it has ended
     */
    record Job(long serviceNanos, Runnable done) {}

    World(Deployment deployment) {
        this.deployment = deployment;
        servers = new Server[Deployment.DATA_CENTRES * deployment.serversPerDataCentre()];
        Arrays.setAll(servers, i -> new Server(i, i / deployment.serversPerDataCentre()));
    }

    /** Starts a job as it reaches a server; a region with more in flight than slots is counted. */
    void submit(Server s, Job job) {
        if (s.running >= deployment.slots()) {
            s.queue.add(job);
            int region = deployment.regionOf(s.dataCentre);
            overloadedInstants += inFlight(region) > regionSlots() ? 1 : 0;
            return;
        }
        start(s, job);
    }

    private void start(Server s, Job job) {
        s.running++;
        timeline.after(job.serviceNanos(), () -> {
            s.running--;
            Job next = s.queue.poll();
            if (next != null) {
                start(s, next);
            }
            job.done().run();
        });
    }

    int regionSlots() {
        return deployment.totalSlots() / Deployment.REGIONS;
    }

    int inFlight(int region) {
        return Arrays.stream(servers)
                .filter(s -> deployment.regionOf(s.dataCentre) == region)
                .mapToInt(Server::load)
                .sum();
    }

    boolean isReachable(int fromDataCentre, int toDataCentre) {
        int a = deployment.regionOf(fromDataCentre);
        int b = deployment.regionOf(toDataCentre);
        boolean cut = (a == cutA && b == cutB) || (a == cutB && b == cutA);
        return !cut && !lost.contains(a) && !lost.contains(b);
    }

    boolean takesWorkFrom(int dataCentre, int target) {
        return isReachable(dataCentre, target) && !drained.contains(deployment.regionOf(target));
    }
}
