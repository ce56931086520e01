package org.lycheetray.measure.admission;

import java.time.Duration;
import java.util.List;
import java.util.Random;
import org.lycheetray.core.model.ClientAccount;
import org.lycheetray.core.model.Vm;
import org.lycheetray.core.time.MonotonicTime;

/** Where and when an account's requests arrive; about three quarters of its rate on average. */
enum DemandPattern {
    /** Poisson arrivals, spread over the VMs by Zipf's law. */
    SKEWED,
    /** Poisson arrivals, most of them at one VM, which changes every few seconds. */
    SHIFTING,
    /** Half of the load in bursts of up to half the account's burst at one VM. */
    BURSTY;

    private static final double LOAD = 0.75;
    private static final double NANOS_PER_SECOND = 1e9;
    private static final Duration SHIFT_INTERVAL = Duration.ofSeconds(5);
    private static final double SHARE_AT_ONE_VM = 0.8;
    private static final double SHARE_IN_BURSTS = 0.5;
    private static final Duration BURST_LENGTH = Duration.ofMillis(50);

    /** Schedules all arrivals of an account until the end. */
    void schedule(ClientAccount account, List<Vm> vms, Random random, EventLoop loop, MonotonicTime end, Arrivals to) {
        double perSecond = account.rate().perSecond() * LOAD * (this == BURSTY ? 1 - SHARE_IN_BURSTS : 1);
        int offset = random.nextInt(vms.size());
        MonotonicTime t = loop.now().plus(exponential(random, perSecond));
        while (t.isBefore(end)) {
            Vm vm = choose(vms, random, offset, t);
            loop.at(t, () -> to.arrived(account, vm));
            t = t.plus(exponential(random, perSecond));
        }
        if (this == BURSTY) {
            scheduleBursts(account, vms, random, loop, end, to);
        }
    }

    private static void scheduleBursts(
            ClientAccount account, List<Vm> vms, Random random, EventLoop loop, MonotonicTime end, Arrivals to) {
        double size = Math.max(2, account.rate().burst() * 0.5);
        double burstsPerSecond = account.rate().perSecond() * LOAD * SHARE_IN_BURSTS / size;
        MonotonicTime t = loop.now().plus(exponential(random, burstsPerSecond));
        while (t.isBefore(end)) {
            Vm vm = vms.get(random.nextInt(vms.size()));
            for (int i = 0; i < size; i++) {
                Duration within = Duration.ofNanos(random.nextLong(BURST_LENGTH.toNanos()));
                loop.at(t.plus(within), () -> to.arrived(account, vm));
            }
            t = t.plus(exponential(random, burstsPerSecond));
        }
    }

    private Vm choose(List<Vm> vms, Random random, int offset, MonotonicTime t) {
        return switch (this) {
            case SKEWED -> vms.get((zipf(vms.size(), random) + offset) % vms.size());
            case SHIFTING -> {
                int hot = (int) ((t.nanos() / SHIFT_INTERVAL.toNanos() * 5 + offset) % vms.size());
                yield vms.get(random.nextDouble() < SHARE_AT_ONE_VM ? hot : random.nextInt(vms.size()));
            }
            case BURSTY -> vms.get(random.nextInt(vms.size()));
        };
    }

    private static int zipf(int n, Random random) {
        double sum = 0;
        for (int i = 1; i <= n; i++) {
            sum += 1.0 / i;
        }
        double x = random.nextDouble() * sum;
        int i = 1;
        while (i < n && x > 1.0 / i) {
            x -= 1.0 / i;
            i++;
        }
        return i - 1;
    }

    private static Duration exponential(Random random, double perSecond) {
        return Duration.ofNanos((long) (-Math.log(1 - random.nextDouble()) / perSecond * NANOS_PER_SECOND));
    }

    /** Receives the arrivals. */
    interface Arrivals {
        void arrived(ClientAccount account, Vm vm);
    }
}
