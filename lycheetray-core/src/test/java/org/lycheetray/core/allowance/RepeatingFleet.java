package org.lycheetray.core.allowance;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;
import org.lycheetray.core.fleet.FleetMember;
import org.lycheetray.core.fleet.FleetView;
import org.lycheetray.core.model.DataCentreName;
import org.lycheetray.core.model.Endpoint;
import org.lycheetray.core.model.RegionName;
import org.lycheetray.core.model.ServiceName;
import org.lycheetray.core.model.VmName;
import org.lycheetray.core.time.MonotonicTime;

/**
 * A fleet in memory whose servers reject all requests, so that each VM repeats as often as its retry budget allows.
 *
 * <p>Runs in steps of half a second. In each step the VMs read and write the table of VMs, exchange reports, and repeat.
 */
final class RepeatingFleet {
    static final double RATIO = 0.2;
    static final double EXTRA = 222;
    private static final Duration STEP = Duration.ofMillis(500);
    private static final Duration WINDOW = Duration.ofSeconds(10);
    private static final int WINDOW_STEPS = 20;
    private static final ServiceName SERVICE = new ServiceName("svc");
    private static final DataCentreName DC = new DataCentreName("dc");
    private static final RegionName REGION = new RegionName("region");

    /** A process of a VM. */
    private static final class Vm {
        private final FleetMember member;
        private final FleetView view;
        private final FleetRetryBudget budget =
                new FleetRetryBudget(new FleetRetryBudget.RetryLimits(RATIO, EXTRA, WINDOW));
        private boolean registered;
        private boolean listed;
        private long sequence;
        private boolean serving;
        private boolean leaving;

        Vm(int name, long incarnation) {
            Endpoint e = new Endpoint("127.0.0.1", 1000 + name);
            member = new FleetMember(new VmName("vm-" + name), incarnation, DC, e, e);
            view = new FleetView(member.vm(), Map.of(DC, REGION));
        }
    }

    private final Random random;
    private final Map<VmName, FleetMember> table = new HashMap<>();
    private final Map<Integer, Vm> running = new TreeMap<>();
    private final Map<Integer, Integer> parts = new HashMap<>();
    private final List<Integer> requests = new ArrayList<>();
    private final List<Integer> repeats = new ArrayList<>();
    private boolean tableReadable = true;
    private int requestsPerStep = 2;
    private double repeatProbability = 1;
    private MonotonicTime now = MonotonicTime.ZERO;
    private long incarnation;

    RepeatingFleet(long seed) {
        random = new Random(seed);
    }

    /** Starts a new process of a VM, which ends the one before it. */
    void start(int vm) {
        running.put(vm, new Vm(vm, ++incarnation));
    }

    void startAll(int vms) {
        for (int i = 0; i < vms; i++) {
            start(i);
        }
    }

    void kill(int vm) {
        running.remove(vm);
    }

    /** Announces the leaving of a VM; its process goes on until it is killed. */
    void leave(int vm) {
        Vm v = running.get(vm);
        v.leaving = true;
        table.remove(v.member.vm());
    }

    List<Integer> running() {
        return List.copyOf(running.keySet());
    }

    void setTableReadable(boolean readable) {
        tableReadable = readable;
    }

    /** Divides the fleet into parts between which no reports arrive. */
    void divide(int count) {
        parts.clear();
        running.keySet().forEach(vm -> parts.put(vm, random.nextInt(count)));
    }

    void isolate(int vm) {
        parts.put(vm, 1_000 + vm);
    }

    void reunite() {
        parts.clear();
    }

    /** Returns the smallest number of VMs that a VM knows, itself included. */
    int smallestView() {
        return running.values().stream().mapToInt(v -> v.view.size() + 1).min().orElse(0);
    }

    /** Sets how often the VMs spend what their budgets allow; below 1, they save it for a random time. */
    void setRepeatProbability(double p) {
        repeatProbability = p;
    }

    void setRequestsPerStep(int n) {
        requestsPerStep = n;
    }

    void run(Duration time) {
        long steps = time.dividedBy(STEP);
        for (long i = 0; i < steps; i++) {
            step();
        }
    }

    private void step() {
        now = now.plus(STEP);
        running.values().forEach(this::enrol);
        running.forEach(this::report);
        int granted = 0;
        for (Vm v : running.values()) {
            v.view.removeExpired(now);
            v.budget.updateFleet(v.view.knowledge(now), now);
            granted += repeat(v);
        }
        requests.add(requestsPerStep * running.size());
        repeats.add(granted);
    }

    private void enrol(Vm v) {
        if (!tableReadable || v.listed) {
            return;
        }
        v.view.addRecordedVms(List.copyOf(table.values()), now);
        if (v.registered) {
            v.listed = true;
            v.view.recordAllRead();
        } else {
            table.put(v.member.vm(), v.member);
            v.registered = true;
        }
    }

    private void report(int sender, Vm v) {
        v.serving = !v.leaving && (v.serving || random.nextBoolean());
        if (!v.registered) {
            return;
        }
        v.sequence++;
        v.view.recipients(v.member, v.sequence, now).direct().forEach(to -> {
            int name = to.reportEndpoint().port() - 1_000;
            Vm receiver = running.get(name);
            if (receiver != null && parts.getOrDefault(sender, 0).equals(parts.getOrDefault(name, 0))) {
                receiver.view.applyReport(v.member, v.sequence, v.serving, now);
            }
        });
    }

    private int repeat(Vm v) {
        for (int i = 0; i < requestsPerStep; i++) {
            v.budget.recordRequest(SERVICE, now);
        }
        int granted = 0;
        if (random.nextDouble() < repeatProbability) {
            while (v.budget.tryAcquireRetry(SERVICE, now)) {
                granted++;
            }
        }
        return granted;
    }

    /** Returns the highest number of repeats in a window, as a fraction of what the rule allows; above 1 is a breach. */
    double peakUsedFraction() {
        double peak = 0;
        for (int end = 1; end <= repeats.size(); end++) {
            int most = Math.max(
                    sum(requests, end),
                    Math.max(sum(requests, end - WINDOW_STEPS / 2), sum(requests, end - WINDOW_STEPS)));
            peak = Math.max(peak, sum(repeats, end) / (RATIO * most + EXTRA));
        }
        return peak;
    }

    private static int sum(List<Integer> perStep, int end) {
        int sum = 0;
        for (int i = Math.max(0, end - WINDOW_STEPS); i < end; i++) {
            sum += perStep.get(i);
        }
        return sum;
    }
}
