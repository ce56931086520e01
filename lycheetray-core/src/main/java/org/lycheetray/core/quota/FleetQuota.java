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
 * Enforces the rates of client accounts over the whole fleet.
 *
 * <p>Each VM keeps a copy of the token bucket of each account. Its own admissions are deducted at once, those of other
 * VMs when they are reported. Reports contain running totals, so that lost or repeated messages cause no lasting error.
 * A VM that does not report is assumed to use its equal share, so that the partitions of a divided fleet together stay
 * within the rate. Not thread-safe.
 */
public final class FleetQuota {
    /** Time without a report after which a VM is regarded as unreachable; several times the report interval. */
    public static final Duration SILENCE_TIMEOUT = Duration.ofMillis(1_200);

    /** Interval between checks for unreachable VMs; a small fraction of {@link #SILENCE_TIMEOUT}. */
    private static final Duration SILENCE_CHECK_INTERVAL = Duration.ofMillis(50);

    /** Stands for the incarnation of VMs that have not reported yet; real incarnations are larger. */
    private static final long NEVER_HEARD = 0;

    /**
     * Fraction of the tolerance that is added to the bucket capacity. The rest covers admissions that are not reported
     * yet.
     */
    private static final double USED_TOLERANCE_FRACTION = 0.25;

    /**
     * Initial fill of a bucket as a fraction of its capacity. Less than 1 because the previous process of this VM may
     * have used the rest.
     */
    private static final double INITIAL_FILL_FRACTION = 0.5;

    private QuotaTolerance tolerance;
    private final Map<ClientAccountName, ReplicatedTokenBucket> buckets = new HashMap<>();
    private final Map<VmName, PeerState> peers = new HashMap<>();

    private Set<VmName> silentPeers = Set.of();
    private Optional<MonotonicTime> lastSilenceCheck = Optional.empty();

    /**
     * State of a VM as of its last report. With {@code hasBaseline}, an account that no report of the present
     * incarnation has listed yet is known to have had the total 0; without it, a first total may be older than this
     * process.
     */
    private record PeerState(long incarnation, MonotonicTime lastHeard, boolean hasBaseline) {}

    /**
     * Creates a quota without accounts.
     *
     * @param tolerance requests tolerated in excess of a rate
     */
    public FleetQuota(QuotaTolerance tolerance) {
        this.tolerance = tolerance;
    }

    /**
     * Replaces the tolerance. It takes effect with the next call of {@link #updateAccounts}.
     *
     * @param next the tolerance
     */
    public void updateTolerance(QuotaTolerance next) {
        tolerance = next;
    }

    /**
     * Applies the accounts of a new configuration.
     *
     * @param accounts all accounts of the configuration
     * @param now current time
     */
    public void updateAccounts(List<AccountPolicy> accounts, MonotonicTime now) {
        Set<ClientAccountName> names = new HashSet<>();
        for (AccountPolicy a : accounts) {
            names.add(a.name());
            double capacity = a.burst() + USED_TOLERANCE_FRACTION * toleratedRequests(a);
            buckets.computeIfAbsent(a.name(), n -> new ReplicatedTokenBucket(capacity * INITIAL_FILL_FRACTION, now))
                    .configure(a.requestsPerSecond(), capacity);
        }
        buckets.keySet().retainAll(names);
    }

    private double toleratedRequests(AccountPolicy a) {
        double window = tolerance.window().toMillis() / 1_000.0;
        return tolerance.overage() * (a.requestsPerSecond() * window + a.burst()) + tolerance.slack();
    }

    /**
     * Replaces the set of other VMs in the fleet, whether reachable or not.
     *
     * @param members names of the other VMs
     * @param now current time
     */
    public void updateMembers(Set<VmName> members, MonotonicTime now) {
        peers.keySet().retainAll(members);
        members.forEach(m -> peers.putIfAbsent(m, new PeerState(NEVER_HEARD, now, false)));
        buckets.values().forEach(b -> b.retainMembers(members));
    }

    /**
     * Applies a report of the requests that another VM has admitted in its present incarnation.
     *
     * @param vm the VM
     * @param incarnation incarnation of the VM; reports of earlier incarnations are ignored
     * @param admitted requests admitted by account, for all accounts or for those that changed
     * @param full true if the total of accounts not listed is 0, false if it may be unchanged
     * @param now current time
     */
    public void applyReport(
            VmName vm, long incarnation, Map<ClientAccountName, Long> admitted, boolean full, MonotonicTime now) {
        PeerState before = peers.get(vm);
        if (before != null && before.incarnation() > incarnation) {
            return;
        }
        boolean neverReported = before == null || before.incarnation() == NEVER_HEARD;
        boolean sameIncarnation = !neverReported && before.incarnation() == incarnation;
        boolean hasBaseline = !neverReported && (!sameIncarnation || before.hasBaseline());
        peers.put(vm, new PeerState(incarnation, now, hasBaseline || full));
        refreshSilentPeers(now);
        if (!sameIncarnation) {
            buckets.values().forEach(b -> b.forgetTotal(vm));
        }
        buckets.forEach((name, b) -> {
            Long total = full ? admitted.getOrDefault(name, 0L) : admitted.get(name);
            if (total == null) {
                b.releaseReservation(vm);
                return;
            }
            b.refill(silentPeers, peers.size() + 1, now);
            if (hasBaseline || b.hasTotal(vm)) {
                b.applyTotal(vm, total);
            } else {
                b.applyFirstTotal(vm, total, peers.size() + 1);
            }
        });
    }

    /**
     * Admits a request if its account has a token left.
     *
     * @param account account of the request
     * @param now current time
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
     * Refunds the token of a request that was admitted and then refused for another reason.
     *
     * @param account account of the request
     */
    public void refund(AccountPolicy account) {
        ReplicatedTokenBucket b = buckets.get(account.name());
        if (b != null && account.isLimited()) {
            b.refund();
        }
    }

    /**
     * Returns the totals of this VM for a report to the other VMs.
     *
     * @param full true for all totals, false for those that other VMs may not have received yet
     * @return requests admitted in this incarnation by account; accounts without admissions are left out
     */
    public Map<ClientAccountName, Long> admittedTotals(boolean full) {
        Map<ClientAccountName, Long> totals = new HashMap<>();
        buckets.forEach((name, b) -> {
            if (b.admitted() > 0 && (full || b.needsReporting())) {
                totals.put(name, b.admitted());
            }
        });
        return totals;
    }

    /**
     * Returns whether a report should be sent at once, because an account is near its limit and the last reported
     * totals are too old.
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

    /** Records that the present totals were sent. */
    public void recordReported() {
        buckets.values().forEach(ReplicatedTokenBucket::recordReported);
    }

    /**
     * Updates the set of VMs that do not report. Checks at most once per {@link #SILENCE_CHECK_INTERVAL}, because it is
     * called for each request.
     */
    private void refreshSilentPeers(MonotonicTime now) {
        if (lastSilenceCheck.isPresent() && now.since(lastSilenceCheck.get()).compareTo(SILENCE_CHECK_INTERVAL) < 0) {
            return;
        }
        lastSilenceCheck = Optional.of(now);
        Set<VmName> next = new HashSet<>();
        peers.forEach((vm, p) -> {
            if (now.since(p.lastHeard()).compareTo(SILENCE_TIMEOUT) > 0) {
                next.add(vm);
            }
        });
        if (!next.equals(silentPeers)) {
            buckets.values().forEach(b -> b.refill(silentPeers, peers.size() + 1, now));
            silentPeers = next;
        }
    }
}
