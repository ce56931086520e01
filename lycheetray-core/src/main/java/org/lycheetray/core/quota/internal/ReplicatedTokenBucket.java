package org.lycheetray.core.quota.internal;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import org.lycheetray.core.model.VmName;
import org.lycheetray.core.time.MonotonicTime;

/** This VM's copy of one client account's token bucket. */
public final class ReplicatedTokenBucket {
    /** Part of a bucket below which totals must be fresh. */
    private static final double NEAR_EMPTY_FRACTION = 0.5;

    /** Part of a bucket that all VMs together may admit without telling. */
    private static final double UNREPORTED_FRACTION = 0.08;

    /** Part of a bucket that new VMs may use together before they have heard what the others have admitted since. */
    private static final double FIRST_TOTAL_FRACTION = 0.5;

    /** Further reports that hold a changed total: one may be lost. */
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
     * @param tokens tokens to start with
     * @param now present time
     */
    public ReplicatedTokenBucket(double tokens, MonotonicTime now) {
        this.tokens = tokens;
        this.refilledAt = now;
    }

    /**
     * Sets rate and size; tokens above the size are lost.
     *
     * @param newPerSecond tokens added per second
     * @param newCapacity most tokens
     */
    public void configure(double newPerSecond, double newCapacity) {
        perSecond = newPerSecond;
        capacity = newCapacity;
        tokens = Math.min(tokens, capacity);
    }

    /**
     * Adds the tokens of the time passed, less the equal shares of VMs that cannot be heard.
     *
     * @param silent VMs that cannot be heard
     * @param vms number of VMs, this one included
     * @param now present time
     */
    public void refill(Set<VmName> silent, int vms, MonotonicTime now) {
        double refill = perSecond * now.since(refilledAt).toNanos() / NANOS_PER_SECOND;
        refilledAt = now;
        double share = refill / vms;
        silent.forEach(vm -> reserved.merge(vm, share, Double::sum));
        double heard = (double) (vms - silent.size()) / vms;
        tokens = Math.min(capacity * heard, tokens + refill - share * silent.size());
    }

    /**
     * Takes a VM's total.
     *
     * @param vm the VM
     * @param total requests that it admitted in its present life
     */
    public void applyTotal(VmName vm, long total) {
        long before = knownTotals.getOrDefault(vm, 0L);
        Double held = reserved.remove(vm);
        tokens -= Math.max(0, total - before - (held == null ? 0 : held));
        knownTotals.put(vm, total);
    }

    /**
     * Takes the first total that was ever heard of a VM: much of it may be older than this bucket.
     *
     * @param vm the VM
     * @param total requests that it admitted in its present life
     * @param vms number of VMs, this one included
     */
    public void applyFirstTotal(VmName vm, long total, int vms) {
        reserved.remove(vm);
        double floor = Math.min(tokens, FIRST_TOTAL_FRACTION * capacity / vms);
        tokens = Math.max(floor, tokens - total);
        knownTotals.put(vm, total);
    }

    /**
     * Forgets VMs that have left.
     *
     * @param members VMs that remain
     */
    public void retainMembers(Set<VmName> members) {
        knownTotals.keySet().retainAll(members);
        reserved.keySet().retainAll(members);
    }

    /**
     * Takes a token.
     *
     * @return false if there is none
     */
    public boolean tryTake() {
        if (tokens < 1) {
            return false;
        }
        tokens--;
        admitted++;
        return true;
    }

    /** Gives a token back: the request did not run. */
    public void refund() {
        tokens = Math.min(capacity, tokens + 1);
        admitted--;
    }

    /**
     * Time until a token is there.
     *
     * @return the time, at least a millisecond
     */
    public Duration timeToToken() {
        double seconds = (1 - tokens) / Math.max(perSecond, 1e-3);
        return Duration.ofMillis(Math.clamp((long) Math.ceil(seconds * 1_000), 1, 60_000));
    }

    /**
     * Requests admitted in this life.
     *
     * @return the total
     */
    public long admitted() {
        return admitted;
    }

    /**
     * Tells whether others must hear of the total now.
     *
     * @param vms number of VMs
     * @return true if the bucket is nearly empty and much is untold
     */
    public boolean isReportDue(int vms) {
        double untold = Math.max(1, UNREPORTED_FRACTION * capacity / vms);
        return tokens < NEAR_EMPTY_FRACTION * capacity && admitted - reported >= untold;
    }

    /**
     * Tells whether the total changed since it was told often enough not to be missed.
     *
     * @return true if a report should hold it
     */
    public boolean needsReporting() {
        return admitted != reported || repeatsLeft > 0;
    }

    /** Notes that the total was told. */
    public void recordReported() {
        repeatsLeft = admitted == reported ? Math.max(0, repeatsLeft - 1) : REPEATS;
        reported = admitted;
    }

    /**
     * Tells whether a total of a VM's present life is known.
     *
     * @param vm the VM
     * @return true if one was told
     */
    public boolean hasTotal(VmName vm) {
        return knownTotals.containsKey(vm);
    }

    /**
     * Forgets the total of a VM's earlier life.
     *
     * @param vm the VM
     */
    public void forgetTotal(VmName vm) {
        knownTotals.remove(vm);
    }

    /**
     * Gives up what was held back for a VM that could not be heard and has admitted nothing.
     *
     * @param vm the VM
     */
    public void releaseReservation(VmName vm) {
        reserved.remove(vm);
    }
}
