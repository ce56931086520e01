package org.lycheetray.core.admission;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import org.lycheetray.core.model.Incarnation;
import org.lycheetray.core.model.Manifest;
import org.lycheetray.core.model.Rate;
import org.lycheetray.core.model.VmName;
import org.lycheetray.core.time.MonotonicTime;

/**
 * Simulated fleet that drives several {@link DistributedRateLimiter} instances through random events and checks each
 * admission against one {@link ReferenceTokenBucket}.
 *
 * <p>Messages are lost, duplicated and delayed at random; VMs are partitioned, paused, killed and restarted. A
 * {@link Mutant} breaks one rule on purpose, to show that the check detects it.
 */
final class FaultInjectionFleet {
    static final RateLimiterOptions OPTIONS =
            new RateLimiterOptions(Duration.ofMillis(500), Duration.ofMillis(10), Duration.ofMillis(100), 12);

    private static final Duration STEP = Duration.ofMillis(5);
    private static final Duration MAX_DELAY = Duration.ofMillis(60);
    private static final Duration EXTRA_LOAN_PERIOD = Duration.ofMillis(300);
    private static final int PAUSE_STEPS = 160;
    private static final int STALE_CLOCK_STEPS = 40;

    /** Rule that is broken on purpose. */
    enum Mutant {
        NONE,
        LENDER_DOES_NOT_DEBIT,
        EXPIRY_COUNTED_FROM_RECEIPT,
        RESTART_DOES_NOT_WAIT,
        RETURN_CREATES_TOKENS,
        EXPIRY_NOT_CHECKED_AFTER_PAUSE
    }

    private final Random random;
    private final Mutant mutant;
    private final int vmCount;
    private final Map<VmName, DistributedRateLimiter> vms = new HashMap<>();
    private final Map<VmName, Integer> pausedFor = new HashMap<>();
    private final Map<VmName, MonotonicTime> pausedAt = new HashMap<>();
    private final Set<VmName> cutOff = new HashSet<>();
    private final List<InFlight> messagesInFlight = new ArrayList<>();
    private final ReferenceTokenBucket referenceBucket;
    private List<Manifest> config;
    private MonotonicTime now = MonotonicTime.ZERO;
    private long incarnations;
    private long admitted;
    private long overAdmitted;
    private long overHeld;
    private RateShare expected;

    FaultInjectionFleet(long seed, Rate rate, int vmCount, Mutant mutant) {
        this.random = new Random(seed);
        this.mutant = mutant;
        this.vmCount = vmCount;
        this.config = List.of(Manifests.of(rate, vmCount));
        this.referenceBucket = new ReferenceTokenBucket(rate, now);
        this.expected = RateShare.of(rate);
        for (int i = 0; i < vmCount; i++) {
            start(Manifests.vm(i), now);
        }
    }

    long admitted() {
        return admitted;
    }

    long overAdmitted() {
        return overAdmitted;
    }

    /** Returns the number of steps at which the buckets in use together exceeded the total rate or burst. */
    long overHeld() {
        return overHeld;
    }

    boolean hasNoExcessLoans() {
        return vms.values().stream().allMatch(v -> v.hasNoExcessLoans(now));
    }

    void step(int steps, double faults) {
        for (int i = 0; i < steps; i++) {
            now = now.plus(STEP);
            injectFault(faults);
            deliver();
            offerLoad(i / 100 % vmCount);
            vms.keySet().stream().filter(this::isRunning).toList().forEach(this::tick);
            checkHeld();
        }
    }

    private void checkHeld() {
        RateShare sum = vms.keySet().stream()
                .filter(this::isRunning)
                .map(n -> vms.get(n).usableShare(Manifests.ACCOUNT, clock(n)))
                .reduce(RateShare.NONE, RateShare::plus);
        overHeld += sum.rate() > expected.rate() || sum.burst() > expected.burst() ? 1 : 0;
    }

    private void tick(VmName name) {
        perform(name, vms.get(name).tick(clock(name)));
    }

    /** Applies the configurations that may be in force to one VM after another while traffic runs. */
    void configure(List<Manifest> activeConfigs) {
        config = activeConfigs;
        for (DistributedRateLimiter v : List.copyOf(vms.values())) {
            v.updateConfigs(activeConfigs, now);
            step(3, 0);
        }
    }

    /** Sets the rate that must not be exceeded from now on. */
    void setExpectedRate(Rate rate) {
        referenceBucket.resize(rate, now);
        expected = RateShare.of(rate);
    }

    void kill(VmName name) {
        vms.remove(name);
    }

    void add(VmName name) {
        start(name, now);
    }

    private void start(VmName name, MonotonicTime from) {
        DistributedRateLimiter v = new DistributedRateLimiter(new Incarnation(name, incarnations++), options(name));
        v.updateConfigs(config, now);
        v.acquireShare(name, from, now);
        vms.put(name, v);
    }

    private RateLimiterOptions options(VmName name) {
        if (mutant != Mutant.EXPIRY_COUNTED_FROM_RECEIPT || name.hashCode() % 2 == 0) {
            return OPTIONS;
        }
        return new RateLimiterOptions(
                OPTIONS.loanPeriod().plus(EXTRA_LOAN_PERIOD), OPTIONS.driftMargin(), OPTIONS.maxWait(), 12);
    }

    private void injectFault(double faults) {
        VmName name = randomVm();
        double x = faults == 0 ? 1 : random.nextDouble() / faults;
        if (x < 0.2) {
            start(name, mutant == Mutant.RESTART_DOES_NOT_WAIT ? now : now.plus(OPTIONS.maxLoanLifetime()));
        } else if (x < 0.4) {
            pausedFor.put(name, random.nextInt(PAUSE_STEPS));
            pausedAt.put(name, now);
        } else if (x < 0.6) {
            cutOff.add(name);
        } else if (x < 1) {
            cutOff.clear();
        }
        pausedFor.replaceAll((n, left) -> left - 1);
        pausedFor.values().removeIf(left -> left < 0);
    }

    private VmName randomVm() {
        return List.copyOf(vms.keySet()).get(random.nextInt(vms.size()));
    }

    private boolean isRunning(VmName name) {
        Integer left = pausedFor.get(name);
        return left == null || (mutant == Mutant.EXPIRY_NOT_CHECKED_AFTER_PAUSE && left < STALE_CLOCK_STEPS);
    }

    /** Returns the current time, or the time before the pause for a mutant that has not read its clock again. */
    private MonotonicTime clock(VmName name) {
        return pausedFor.containsKey(name) ? pausedAt.get(name) : now;
    }

    private void offerLoad(int busiestVm) {
        int requests = random.nextInt(4);
        for (int i = 0; i < requests; i++) {
            VmName name = random.nextInt(3) > 0 ? Manifests.vm(busiestVm) : randomVm();
            if (vms.containsKey(name) && isRunning(name)) {
                AdmissionResult a =
                        vms.get(name).admit(Manifests.ACCOUNT, now.plus(Duration.ofSeconds(1)), clock(name));
                count(a.decision());
                perform(name, a.effects());
            }
        }
    }

    private void count(RateDecision decision) {
        if (decision instanceof RateDecision.Admitted) {
            admitted++;
            overAdmitted += referenceBucket.admit(now) ? 0 : 1;
        }
    }

    private void perform(VmName from, List<RateEffect> effects) {
        for (RateEffect e : effects) {
            switch (e) {
                case RateEffect.Decided d -> count(d.decision());
                case RateEffect.Send s -> send(from, mutate(s));
            }
        }
    }

    private void send(VmName from, RateEffect.Send s) {
        int copies = random.nextInt(10) == 0 ? random.nextInt(3) : 1;
        for (int i = 0; i < copies; i++) {
            MonotonicTime at = now.plus(Duration.ofNanos(random.nextLong(MAX_DELAY.toNanos())));
            messagesInFlight.add(new InFlight(from, s.to(), s.message(), at));
        }
    }

    private void deliver() {
        for (InFlight m : List.copyOf(messagesInFlight)) {
            if (now.isBefore(m.at()) || !isRunning(m.to())) {
                continue;
            }
            messagesInFlight.remove(m);
            if (!cutOff.contains(m.from()) && !cutOff.contains(m.to())) {
                receive(m);
            }
        }
    }

    private void receive(InFlight m) {
        DistributedRateLimiter to = vms.get(m.to());
        if (to != null) {
            perform(m.to(), to.onMessage(m.from(), m.message(), clock(m.to())));
        }
    }

    private RateEffect.Send mutate(RateEffect.Send s) {
        return switch (s.message()) {
            case LoanMessage.Answer a
            when mutant == Mutant.LENDER_DOES_NOT_DEBIT -> new RateEffect.Send(s.to(), enlarged(a));
            case LoanMessage.Return r
            when mutant == Mutant.RETURN_CREATES_TOKENS ->
                new RateEffect.Send(s.to(), new LoanMessage.Return(r.id(), r.account(), Long.MAX_VALUE));
            default -> s;
        };
    }

    private static LoanMessage.Answer enlarged(LoanMessage.Answer a) {
        RateShare more = a.share().plus(new RateShare(0, RateShare.TOKEN));
        return new LoanMessage.Answer(
                a.id(), a.account(), more, a.tokens() + RateShare.TOKEN, a.spare(), a.largestBorrower());
    }

    /** A message in flight. */
    private record InFlight(VmName from, VmName to, LoanMessage message, MonotonicTime at) {}
}
