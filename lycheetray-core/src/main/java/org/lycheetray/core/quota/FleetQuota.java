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
import org.lycheetray.core.quota.internal.ReplicatedTokenBucket;
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
    private static final Duration SILENCE_CHECK_INTERVAL = Duration.ofMillis(50);

    /** Incarnation of VMs that were never heard; real ones are larger. */
    private static final long NEVER_HEARD = 0;

    /** Share of the tolerance that may be used knowingly; the rest covers admissions that are not yet told. */
    private static final double USED_TOLERANCE_FRACTION = 0.25;

    /** Share of a full bucket that a new process starts with: its predecessor may have used the rest. */
    private static final double INITIAL_FILL_FRACTION = 0.5;

    private QuotaTolerance tolerance;
    private final Map<ClientAccountName, ReplicatedTokenBucket> buckets = new HashMap<>();
    private final Map<VmName, PeerState> peers = new HashMap<>();

    private Set<VmName> silentPeers = Set.of();
    private Optional<MonotonicTime> lastSilenceCheck = Optional.empty();

    /** A VM as last heard; {@code allKnown} once no total of its present life can be older than this process. */
    private record PeerState(long incarnation, MonotonicTime lastHeard, boolean hasBaseline) {}

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
            double capacity = a.burst() + USED_TOLERANCE_FRACTION * toleratedRequests(a);
            buckets.computeIfAbsent(a.name(), n -> new ReplicatedTokenBucket(capacity * INITIAL_FILL_FRACTION, now))
                    .configure(a.perSecond(), capacity);
        }
        buckets.keySet().retainAll(names);
    }

    private double toleratedRequests(AccountPolicy a) {
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
        members.forEach(m -> peers.putIfAbsent(m, new PeerState(NEVER_HEARD, now, false)));
        buckets.values().forEach(b -> b.retainMembers(members));
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
        boolean neverHeard = before == null || before.incarnation() == NEVER_HEARD;
        boolean sameLife = !neverHeard && before.incarnation() == incarnation;
        boolean allKnown = !neverHeard && (!sameLife || before.hasBaseline());
        peers.put(vm, new PeerState(incarnation, now, allKnown || whole));
        refreshSilentPeers(now);
        if (!sameLife) {
            buckets.values().forEach(b -> b.forgetTotal(vm));
        }
        buckets.forEach((name, b) -> {
            Long total = whole ? admitted.getOrDefault(name, 0L) : admitted.get(name);
            if (total == null) {
                b.releaseReservation(vm);
                return;
            }
            b.refill(silentPeers, peers.size() + 1, now);
            if (allKnown || b.hasTotal(vm)) {
                b.applyTotal(vm, total);
            } else {
                b.applyFirstTotal(vm, total, peers.size() + 1);
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
        ReplicatedTokenBucket b = buckets.get(account.name());
        if (b == null || !account.isLimited()) {
            return new QuotaDecision.Admitted();
        }
        refreshSilentPeers(now);
        b.refill(silentPeers, peers.size() + 1, now);
        if (b.tryTake()) {
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
        ReplicatedTokenBucket b = buckets.get(account.name());
        if (b != null && account.isLimited()) {
            b.refund();
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
            if (b.admitted() > 0 && (whole || b.needsReporting())) {
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
        for (ReplicatedTokenBucket b : buckets.values()) {
            if (b.isReportDue(vms)) {
                return true;
            }
        }
        return false;
    }

    /** Notes that the present totals were sent. */
    public void reported() {
        buckets.values().forEach(ReplicatedTokenBucket::recordReported);
    }

    /** Finds the VMs that cannot be heard; looks at most once in a while, since it is asked for each request. */
    private void refreshSilentPeers(MonotonicTime now) {
        if (lastSilenceCheck.isPresent() && now.since(lastSilenceCheck.get()).compareTo(SILENCE_CHECK_INTERVAL) < 0) {
            return;
        }
        lastSilenceCheck = Optional.of(now);
        Set<VmName> next = new HashSet<>();
        peers.forEach((vm, p) -> {
            if (now.since(p.lastHeard()).compareTo(SILENCE) > 0) {
                next.add(vm);
            }
        });
        if (!next.equals(silentPeers)) {
            buckets.values().forEach(b -> b.refill(silentPeers, peers.size() + 1, now));
            silentPeers = next;
        }
    }
}
