package org.lycheetray.core.quota;

import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.lycheetray.core.model.ClientAccountName;
import org.lycheetray.core.model.VmName;
import org.lycheetray.core.quota.internal.FleetBucket;
import org.lycheetray.core.time.MonotonicTime;
import org.lycheetray.core.traffic.AccountPolicy;

/**
 * Keeps client accounts within their rates over the whole fleet.
 *
 * <p>Each VM keeps a copy of every account's token bucket: its own admissions are taken from it at once, those of the
 * other VMs as soon as they are told, as totals that a lost or repeated message cannot falsify. A VM that was not heard
 * from is taken to use its equal share, so that two parts of a divided fleet together stay within the rate. For one
 * thread.
 */
public final class FleetQuota {
    /** Silence after which a VM counts as cut off: several reports' worth. */
    public static final Duration SILENCE = Duration.ofMillis(1_200);

    /** Pause between looks for VMs that cannot be heard: a small part of {@link #SILENCE}. */
    private static final Duration LOOK_PERIOD = Duration.ofMillis(50);

    /** Incarnation of VMs that were never heard; real ones are larger. */
    private static final long UNHEARD = 0;

    /** Share of the tolerance that may be used knowingly; the rest covers admissions that are not yet told. */
    private static final double USED_TOLERANCE = 0.25;

    /** Share of a full bucket that a new process starts with: its predecessor may have used the rest. */
    private static final double INITIAL_SHARE = 0.5;

    private QuotaTolerance tolerance;
    private final Map<ClientAccountName, FleetBucket> buckets = new HashMap<>();
    private final Map<VmName, PeerState> peers = new HashMap<>();

    private Set<VmName> silent = Set.of();
    private Optional<MonotonicTime> looked = Optional.empty();

    /** A VM as last heard; {@code allKnown} once no total of its present life can be older than this process. */
    private record PeerState(long incarnation, MonotonicTime heard, boolean allKnown) {}

    /**
     * Creates a quota that knows no accounts.
     *
     * @param tolerance what is tolerated beyond a rate
     */
    public FleetQuota(QuotaTolerance tolerance) {
        this.tolerance = tolerance;
    }

    /**
     * Sets what is tolerated beyond a rate; takes effect with the next configuration.
     *
     * @param next the tolerance
     */
    public void tolerate(QuotaTolerance next) {
        tolerance = next;
    }

    /**
     * Takes the accounts of a new configuration.
     *
     * @param accounts all accounts
     * @param now present time
     */
    public void configure(List<AccountPolicy> accounts, MonotonicTime now) {
        Set<ClientAccountName> names = new HashSet<>();
        for (AccountPolicy a : accounts) {
            names.add(a.name());
            double capacity = a.burst() + USED_TOLERANCE * tolerated(a);
            buckets.computeIfAbsent(a.name(), n -> new FleetBucket(capacity * INITIAL_SHARE, now))
                    .configure(a.perSecond(), capacity);
        }
        buckets.keySet().retainAll(names);
    }

    private double tolerated(AccountPolicy a) {
        double window = tolerance.window().toMillis() / 1_000.0;
        return tolerance.overage() * (a.perSecond() * window + a.burst()) + tolerance.slack();
    }

    /**
     * Takes the other VMs of the fleet, whether they can be heard or not.
     *
     * @param members their names
     * @param now present time
     */
    public void members(Set<VmName> members, MonotonicTime now) {
        peers.keySet().retainAll(members);
        members.forEach(m -> peers.putIfAbsent(m, new PeerState(UNHEARD, now, false)));
        buckets.values().forEach(b -> b.retain(members));
    }

    /**
     * Takes what another VM has admitted in its present life.
     *
     * @param vm the VM
     * @param incarnation its life
     * @param admitted total of each account, or of those that changed
     * @param whole true if accounts that are left out have no total
     * @param now present time
     */
    public void report(
            VmName vm, long incarnation, Map<ClientAccountName, Long> admitted, boolean whole, MonotonicTime now) {
        PeerState before = peers.get(vm);
        if (before != null && before.incarnation() > incarnation) {
            return;
        }
        boolean neverHeard = before == null || before.incarnation() == UNHEARD;
        boolean sameLife = !neverHeard && before.incarnation() == incarnation;
        boolean allKnown = !neverHeard && (!sameLife || before.allKnown());
        peers.put(vm, new PeerState(incarnation, now, allKnown || whole));
        noteSilent(now);
        if (!sameLife) {
            buckets.values().forEach(b -> b.startAnew(vm));
        }
        buckets.forEach((name, b) -> {
            Long total = whole ? admitted.getOrDefault(name, 0L) : admitted.get(name);
            if (total == null) {
                b.heardNothingNew(vm);
                return;
            }
            b.settle(silent, peers.size() + 1, now);
            if (allKnown || b.knows(vm)) {
                b.report(vm, total);
            } else {
                b.heardFirst(vm, total, peers.size() + 1);
            }
        });
    }

    /**
     * Counts a request if its account has a token for it.
     *
     * @param account the request's account
     * @param now present time
     * @return the decision
     */
    public QuotaDecision admit(AccountPolicy account, MonotonicTime now) {
        FleetBucket b = buckets.get(account.name());
        if (b == null || !account.isLimited()) {
            return new QuotaDecision.Admitted();
        }
        noteSilent(now);
        b.settle(silent, peers.size() + 1, now);
        if (b.take()) {
            return new QuotaDecision.Admitted();
        }
        return new QuotaDecision.OverRate(b.timeToToken());
    }

    /**
     * Gives back the token of a request that was admitted and then refused for another reason.
     *
     * @param account the request's account
     */
    public void giveBack(AccountPolicy account) {
        FleetBucket b = buckets.get(account.name());
        if (b != null && account.isLimited()) {
            b.giveBack();
        }
    }

    /**
     * Totals of this VM, for the other VMs.
     *
     * @param whole true for all, false for those that others may not have heard yet
     * @return requests admitted in this life, by account; accounts without any are left out
     */
    public Map<ClientAccountName, Long> admitted(boolean whole) {
        Map<ClientAccountName, Long> totals = new HashMap<>();
        buckets.forEach((name, b) -> {
            if (b.admitted() > 0 && (whole || b.isNews())) {
                totals.put(name, b.admitted());
            }
        });
        return totals;
    }

    /**
     * Tells whether the other VMs should be told at once, because an account is near its limit and they rely on totals
     * that are too old.
     *
     * @return true if a report is due
     */
    public boolean isReportDue() {
        int vms = peers.size() + 1;
        for (FleetBucket b : buckets.values()) {
            if (b.isReportDue(vms)) {
                return true;
            }
        }
        return false;
    }

    /** Notes that the present totals were sent. */
    public void reported() {
        buckets.values().forEach(FleetBucket::reported);
    }

    /** Finds the VMs that cannot be heard; looks at most once in a while, since it is asked for each request. */
    private void noteSilent(MonotonicTime now) {
        if (looked.isPresent() && now.since(looked.get()).compareTo(LOOK_PERIOD) < 0) {
            return;
        }
        looked = Optional.of(now);
        Set<VmName> next = new HashSet<>();
        peers.forEach((vm, p) -> {
            if (now.since(p.heard()).compareTo(SILENCE) > 0) {
                next.add(vm);
            }
        });
        if (!next.equals(silent)) {
            buckets.values().forEach(b -> b.settle(silent, peers.size() + 1, now));
            silent = next;
        }
    }
}
