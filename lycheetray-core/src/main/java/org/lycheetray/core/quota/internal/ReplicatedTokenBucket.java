package org.lycheetray.core.quota.internal;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import org.lycheetray.core.model.VmName;
import org.lycheetray.core.time.MonotonicTime;

/** This VM's replica of the token bucket of one client account. */
public final class ReplicatedTokenBucket {
    /** Fill level below which totals must be reported promptly, as a fraction of the capacity. */
    private static final double NEAR_EMPTY_FRACTION = 0.5;

    /**
     * Requests that all VMs together may admit without a report when the bucket is nearly empty, as a fraction of the
     * capacity.
     */
    private static final double UNREPORTED_FRACTION = 0.08;

    /**
     * Tokens that all new VMs together may use after a first total, before they know what other VMs have admitted since
     * their own start, as a fraction of the capacity.
     */
    private static final double FIRST_TOTAL_FRACTION = 0.5;

    /** Number of reports that repeat a changed total, because one may be lost. */
    private static final int REPEATS = 1;

    private static final double NANOS_PER_SECOND = 1e9;

    private final Map<VmName, Long> knownTotals = new HashMap<>();
    private final Map<VmName, Double> reserved = new HashMap<>();
    private double perSecond;
    private double capacity;
    private double tokens;
    private MonotonicTime refilledAt;
    private long admitted;
    private long reported;
    private int repeatsLeft;

    /**
     * Creates a bucket.
     *
     * @param tokens initial tokens
     * @param now current time
     */
    public ReplicatedTokenBucket(double tokens, MonotonicTime now) {
        this.tokens = tokens;
        this.refilledAt = now;
    }

    /**
     * Sets rate and capacity. Tokens in excess of the capacity are discarded.
     *
     * @param newPerSecond rate in tokens per second
     * @param newCapacity maximum of tokens
     */
    public void configure(double newPerSecond, double newCapacity) {
        perSecond = newPerSecond;
        capacity = newCapacity;
        tokens = Math.min(tokens, capacity);
    }

    /**
     * Adds the tokens that have accrued, and reserves the equal shares of VMs that do not report.
     *
     * @param silent VMs that do not report
     * @param vms number of VMs, including this one
     * @param now current time
     */
    public void refill(Set<VmName> silent, int vms, MonotonicTime now) {
        double accrued = perSecond * now.since(refilledAt).toNanos() / NANOS_PER_SECOND;
        refilledAt = now;
        double share = accrued / vms;
        silent.forEach(vm -> reserved.merge(vm, share, Double::sum));
        double reportingFraction = (double) (vms - silent.size()) / vms;
        tokens = Math.min(capacity * reportingFraction, tokens + accrued - share * silent.size());
    }

    /**
     * Applies the total of another VM: deducts the admissions since its last total, less the tokens reserved for it.
     *
     * @param vm the VM
     * @param total requests admitted by the VM in its present incarnation
     */
    public void applyTotal(VmName vm, long total) {
        long before = knownTotals.getOrDefault(vm, 0L);
        Double held = reserved.remove(vm);
        tokens -= Math.max(0, total - before - (held == null ? 0 : held));
        knownTotals.put(vm, total);
    }

    /**
     * Applies the first total received from another VM. The deduction is limited, because much of the total may be from
     * before this bucket was created.
     *
     * @param vm the VM
     * @param total requests admitted by the VM in its present incarnation
     * @param vms number of VMs, including this one
     */
    public void applyFirstTotal(VmName vm, long total, int vms) {
        reserved.remove(vm);
        double floor = Math.min(tokens, FIRST_TOTAL_FRACTION * capacity / vms);
        tokens = Math.max(floor, tokens - total);
        knownTotals.put(vm, total);
    }

    /**
     * Removes the state of VMs that have left the fleet.
     *
     * @param members VMs that remain
     */
    public void retainMembers(Set<VmName> members) {
        knownTotals.keySet().retainAll(members);
        reserved.keySet().retainAll(members);
    }

    /**
     * Takes a token if one is available.
     *
     * @return true if a token was taken
     */
    public boolean tryTake() {
        if (tokens < 1) {
            return false;
        }
        tokens--;
        admitted++;
        return true;
    }

    /** Refunds the token of a request that did not run. */
    public void refund() {
        tokens = Math.min(capacity, tokens + 1);
        admitted--;
    }

    /**
     * Returns the time until a token is available.
     *
     * @return the time, at least 1 ms and at most 60 s
     */
    public Duration timeToToken() {
        double seconds = (1 - tokens) / Math.max(perSecond, 1e-3);
        return Duration.ofMillis(Math.clamp((long) Math.ceil(seconds * 1_000), 1, 60_000));
    }

    /**
     * Returns the number of requests that this VM has admitted in its present incarnation.
     *
     * @return the total
     */
    public long admitted() {
        return admitted;
    }

    /**
     * Returns whether the total must be reported at once.
     *
     * @param vms number of VMs
     * @return true if the bucket is nearly empty and many admissions are not reported
     */
    public boolean isReportDue(int vms) {
        double maxUnreported = Math.max(1, UNREPORTED_FRACTION * capacity / vms);
        return tokens < NEAR_EMPTY_FRACTION * capacity && admitted - reported >= maxUnreported;
    }

    /**
     * Returns whether reports should contain the total.
     *
     * @return true if the total has changed since its last report or was not repeated often enough
     */
    public boolean needsReporting() {
        return admitted != reported || repeatsLeft > 0;
    }

    /** Records that the total was reported. */
    public void recordReported() {
        repeatsLeft = admitted == reported ? Math.max(0, repeatsLeft - 1) : REPEATS;
        reported = admitted;
    }

    /**
     * Returns whether a total of the present incarnation of a VM is known.
     *
     * @param vm the VM
     * @return true if a total was reported
     */
    public boolean hasTotal(VmName vm) {
        return knownTotals.containsKey(vm);
    }

    /**
     * Removes the total of an earlier incarnation of a VM.
     *
     * @param vm the VM
     */
    public void forgetTotal(VmName vm) {
        knownTotals.remove(vm);
    }

    /**
     * Releases the tokens that were reserved for a VM that did not report but has admitted nothing.
     *
     * @param vm the VM
     */
    public void releaseReservation(VmName vm) {
        reserved.remove(vm);
    }
}
