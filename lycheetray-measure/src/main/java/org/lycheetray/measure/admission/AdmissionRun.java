package org.lycheetray.measure.admission;

import java.time.Duration;
import java.util.List;
import java.util.Random;
import org.lycheetray.core.admission.RateLimiterOptions;
import org.lycheetray.core.model.ClientAccount;
import org.lycheetray.core.model.Vm;
import org.lycheetray.core.model.VmName;
import org.lycheetray.core.time.MonotonicTime;

/**
 * One seeded run.
 *
 * @param deployment sizes and delays
 * @param vmCount number of VMs
 * @param pattern demand
 * @param fault what fails
 * @param seed seed of all randomness
 * @param length simulated time with demand
 */
record AdmissionRun(
        Deployment deployment, int vmCount, DemandPattern pattern, Fault fault, long seed, Duration length) {
    private static final Duration WARM_UP = Duration.ofSeconds(20);
    private static final Duration LISTED_GONE_AFTER = Duration.ofSeconds(5);
    private static final Duration RESTART_TIME = Duration.ofSeconds(1);

    Tally run() {
        EventLoop loop = new EventLoop();
        Fleet fleet = new Fleet(loop, deployment, vmCount);
        loop.runUntil(loop.now().plus(WARM_UP));
        MonotonicTime end = loop.now().plus(length);
        Random random = new Random(seed);
        List<Vm> vms = fleet.manifest().vms();
        for (ClientAccount a : fleet.manifest().clientAccounts()) {
            pattern.schedule(a, vms, new Random(random.nextLong()), loop, end, fleet::request);
        }
        scheduleFault(fleet, loop, vms, random);
        loop.runUntil(end.plus(Duration.ofSeconds(1)));
        return fleet.tally();
    }

    private void scheduleFault(Fleet fleet, EventLoop loop, List<Vm> vms, Random random) {
        Duration third = length.dividedBy(3);
        int victim = random.nextInt(vms.size());
        VmName first = vms.get(victim).name();
        VmName second = vms.get((victim + 3) % vms.size()).name();
        switch (fault) {
            case NONE -> {}
            case DATA_CENTRE_CUT_OFF ->
                loop.after(third, () -> fleet.cut(vms.get(victim).dataCentre(), third));
            case STORE_DOWN -> {
                loop.after(third.plus(RESTART_TIME), () -> restart(fleet, loop, first, false));
                loop.after(third.multipliedBy(2), () -> fleet.hold(first, first, loop.now()));
            }
            case VM_DEATHS -> {
                loop.after(third, () -> restart(fleet, loop, first, true));
                loop.after(third.dividedBy(2), () -> fleet.kill(second));
                loop.after(third.dividedBy(2).plus(LISTED_GONE_AFTER), () -> inherit(fleet, loop, second, vms));
            }
        }
    }

    private static void restart(Fleet fleet, EventLoop loop, VmName vm, boolean storeUp) {
        fleet.kill(vm);
        loop.after(RESTART_TIME, () -> {
            fleet.start(vm, storeUp ? loop.now().plus(RateLimiterOptions.DEFAULT.maxLoanLifetime()) : null);
            fleet.updateReachable();
        });
    }

    private static void inherit(Fleet fleet, EventLoop loop, VmName gone, List<Vm> vms) {
        VmName heir = vms.stream()
                .map(Vm::name)
                .filter(n -> !n.equals(gone))
                .findFirst()
                .orElseThrow();
        fleet.hold(heir, gone, loop.now().plus(RateLimiterOptions.DEFAULT.maxLoanLifetime()));
    }
}
