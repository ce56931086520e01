package org.lycheetray.core.admission;

import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Stream;
import org.lycheetray.core.admission.internal.AccountRateLimiter;
import org.lycheetray.core.admission.internal.TokenBucket;
import org.lycheetray.core.admission.internal.VmContext;
import org.lycheetray.core.model.ClientAccountName;
import org.lycheetray.core.model.Incarnation;
import org.lycheetray.core.model.Manifest;
import org.lycheetray.core.model.Vm;
import org.lycheetray.core.model.VmName;
import org.lycheetray.core.time.MonotonicTime;

/**
 * Rate limiter of one VM that enforces the rate and burst of client accounts over the whole fleet.
 *
 * <p>Each VM has a base share of each account, as computed by {@link BaseShares}, and borrows from its peers when the
 * share does not suffice. At any time the rates of all buckets and of all loans in use add up to at most the account's
 * rate, and their capacities to at most its burst; tokens are moved but never created. In any window of t seconds the
 * fleet therefore admits at most burst + rate * t requests, whichever processes fail and whichever messages are lost.
 *
 * <p>A share can be used only after {@link #acquireShare}: a new process passes the time from which no loan of its
 * predecessor is in use. While several configurations may be in force, the lowest share of all of them applies. State
 * is kept only for accounts with demand. Not thread-safe.
 */
public final class DistributedRateLimiter {
    private static final int MAX_SMALL_FLEET_PEERS = 16;

    private final VmName localVm;
    private final VmContext context;
    private final RateLimiterOptions options;
    private final Map<ClientAccountName, AccountRateLimiter> accounts = new HashMap<>();
    private final Map<VmName, MonotonicTime> usableFrom = new LinkedHashMap<>();
    private final Set<VmName> usableShares = new HashSet<>();
    private final Set<VmName> unreachable = new HashSet<>();
    private List<BaseShares> activeConfigs = List.of();
    private List<VmName> vmsByProximity = List.of();
    private MonotonicTime accrualStart = MonotonicTime.ZERO;

    /**
     * Creates the rate limiter of a new process, which has no share yet.
     *
     * @param incarnation incarnation of this process
     * @param options options, the same on all VMs
     */
    public DistributedRateLimiter(Incarnation incarnation, RateLimiterOptions options) {
        this.localVm = incarnation.vm();
        this.options = options;
        this.context = new VmContext(incarnation, options, vm -> !vm.equals(this.localVm) && !unreachable.contains(vm));
    }

    /**
     * Replaces the configurations that may be in force at any VM.
     *
     * @param manifests the accepted configuration last, preceded by any pending one and any earlier one that a VM may
     *     still use
     * @param now current time
     */
    public void updateConfigs(List<Manifest> manifests, MonotonicTime now) {
        activateDueShares(now);
        List<BaseShares> next = manifests.stream().map(this::baseShares).toList();
        if (next.equals(activeConfigs)) {
            return;
        }
        if (activeConfigs.isEmpty()) {
            accrualStart = now;
        } else {
            createChangedAccounts(next, now);
        }
        activeConfigs = next;
        vmsByProximity = manifests.isEmpty()
                ? List.of()
                : sortByProximity(manifests.getLast().vms());
        accounts.forEach((name, a) -> configure(name, a, now));
    }

    private BaseShares baseShares(Manifest m) {
        return activeConfigs.stream().filter(b -> b.matches(m)).findFirst().orElseGet(() -> new BaseShares(m));
    }

    /**
     * Creates the state of accounts whose share changes, because an account without state is assumed to have had the
     * same share ever since {@link #accrualStart}.
     */
    private void createChangedAccounts(List<BaseShares> next, MonotonicTime now) {
        Set<ClientAccountName> names = new HashSet<>();
        next.forEach(b -> names.addAll(b.accounts()));
        names.stream()
                .filter(n -> !share(next, n).equals(share(activeConfigs, n)))
                .forEach(n -> account(n, now));
    }

    private List<VmName> sortByProximity(List<Vm> vms) {
        Vm local =
                vms.stream().filter(v -> v.name().equals(localVm)).findFirst().orElse(null);
        List<Vm> others = new ArrayList<>(vms);
        int start = local == null ? 0 : others.indexOf(local);
        Collections.rotate(others, -start);
        others.sort(Comparator.comparing(v -> local == null || !v.dataCentre().equals(local.dataCentre())));
        return others.stream().map(Vm::name).filter(n -> !n.equals(localVm)).toList();
    }

    /**
     * Allows this VM to use a base share: its own, or that of a removed VM that it succeeds.
     *
     * @param share VM that the share was computed for
     * @param from time from which no loan of an earlier owner is in use
     * @param now current time
     */
    public void acquireShare(VmName share, MonotonicTime from, MonotonicTime now) {
        usableFrom.put(share, from);
        activateDueShares(now);
    }

    /**
     * Stops using a base share. Loans granted from it run until they are returned or expire, see
     * {@link #hasNoExcessLoans}.
     *
     * @param share VM that the share was computed for
     * @param now current time
     */
    public void releaseShare(VmName share, MonotonicTime now) {
        if (usableFrom.remove(share) != null && usableShares.remove(share)) {
            applyShares(now);
        }
    }

    /**
     * Returns whether the loans that this VM has granted, under earlier configurations or from released shares too, fit
     * into its present shares. Only then may a configuration with a lower rate be acknowledged, or a released share be
     * used by another VM.
     *
     * @param now current time
     * @return true if no account has loans in excess of its share
     */
    public boolean hasNoExcessLoans(MonotonicTime now) {
        return accounts.values().stream().noneMatch(a -> a.hasExcessLoans(now));
    }

    /**
     * Replaces the set of VMs that loans are not requested from.
     *
     * @param vms VMs that the membership service reports as dead or unreachable
     */
    public void updateUnreachable(Set<VmName> vms) {
        unreachable.clear();
        unreachable.addAll(vms);
    }

    /**
     * Decides whether to admit a request.
     *
     * @param name client account of the request
     * @param deadline time after which the request need not be run any more
     * @param now current time
     * @return the decision and the effects to perform
     */
    public AdmissionResult admit(ClientAccountName name, MonotonicTime deadline, MonotonicTime now) {
        activateDueShares(now);
        if (!isDeclared(name)) {
            RateLimitStatus none = new RateLimitStatus(0, 0, 0, options.maxLoanLifetime());
            return new AdmissionResult(
                    new RateDecision.Refused(RateDecision.Reason.UNKNOWN_ACCOUNT, options.maxLoanLifetime(), none),
                    List.of());
        }
        List<RateEffect> out = new ArrayList<>();
        RateDecision d = account(name, now).admit(deadline, now, out);
        return new AdmissionResult(d, out);
    }

    /**
     * Removes a waiting request whose caller has disconnected.
     *
     * @param name client account of the request
     * @param ticket identifies the request
     */
    public void cancel(ClientAccountName name, long ticket) {
        AccountRateLimiter a = accounts.get(name);
        if (a != null) {
            a.cancel(ticket);
        }
    }

    /**
     * Handles a message from another VM.
     *
     * @param from sender
     * @param message the message
     * @param now current time
     * @return the effects to perform
     */
    public List<RateEffect> onMessage(VmName from, LoanMessage message, MonotonicTime now) {
        activateDueShares(now);
        if (!isDeclared(message.account())) {
            return List.of();
        }
        List<RateEffect> out = new ArrayList<>();
        account(message.account(), now).onMessage(from, message, now, out);
        return out;
    }

    /**
     * Performs periodic work. Must be called about every 20 ms.
     *
     * @param now current time
     * @return the effects to perform
     */
    public List<RateEffect> tick(MonotonicTime now) {
        activateDueShares(now);
        List<RateEffect> out = new ArrayList<>();
        accounts.values().forEach(a -> a.tick(now, out));
        accounts.values().removeIf(a -> a.isIdle(now));
        return out;
    }

    /**
     * Returns all borrowed loans to their issuers before the process stops.
     *
     * @return the messages to send
     */
    public List<RateEffect> returnAllLoans() {
        List<RateEffect> out = new ArrayList<>();
        accounts.values().forEach(a -> a.returnAllLoans(out));
        return out;
    }

    /**
     * Returns the total rate and capacity of the buckets that this VM may use now, its own and borrowed ones. Over the
     * fleet they add up to at most the account's rate and burst.
     *
     * @param name client account
     * @param now current time
     * @return the total, without the amounts lent to other VMs
     */
    public RateShare usableShare(ClientAccountName name, MonotonicTime now) {
        activateDueShares(now);
        AccountRateLimiter a = accounts.get(name);
        return a == null ? share(activeConfigs, name) : a.held(now);
    }

    /**
     * Returns the number of client accounts that have state at this VM.
     *
     * @return the number of accounts
     */
    public int accountCount() {
        return accounts.size();
    }

    private boolean isDeclared(ClientAccountName name) {
        return !activeConfigs.isEmpty()
                && activeConfigs.stream().allMatch(b -> b.total(name).isPresent());
    }

    private AccountRateLimiter account(ClientAccountName name, MonotonicTime now) {
        return accounts.computeIfAbsent(name, n -> create(n, now));
    }

    private AccountRateLimiter create(ClientAccountName name, MonotonicTime now) {
        RateShare share = share(activeConfigs, name);
        TokenBucket unused = new TokenBucket(share.rate(), share.burst(), 0, accrualStart);
        unused.refill(now);
        AccountRateLimiter a = new AccountRateLimiter(context, name, total(name), share, unused.tokens(), now);
        configure(name, a, now);
        return a;
    }

    private void configure(ClientAccountName name, AccountRateLimiter a, MonotonicTime now) {
        List<VmName> holders =
                activeConfigs.isEmpty() ? List.of() : activeConfigs.getLast().holders(name);
        a.configure(total(name), share(activeConfigs, name), holders.size(), candidates(holders), now);
    }

    /**
     * Returns the holders, nearest first. In a small fleet the other VMs follow, since they may have loans that they do
     * not need.
     */
    private List<VmName> candidates(List<VmName> holders) {
        Stream<VmName> near = vmsByProximity.stream().filter(holders::contains);
        if (vmsByProximity.size() > MAX_SMALL_FLEET_PEERS) {
            return near.toList();
        }
        return Stream.concat(near, vmsByProximity.stream().filter(n -> !holders.contains(n)))
                .toList();
    }

    private RateShare total(ClientAccountName name) {
        return activeConfigs.stream()
                .map(b -> b.total(name).orElse(RateShare.NONE))
                .reduce(RateShare::min)
                .orElse(RateShare.NONE);
    }

    private RateShare share(List<BaseShares> configs, ClientAccountName name) {
        RateShare sum = RateShare.NONE;
        for (VmName vm : usableShares) {
            sum = sum.plus(configs.stream()
                    .map(b -> b.share(name, vm))
                    .reduce(RateShare::min)
                    .orElse(RateShare.NONE));
        }
        return sum;
    }

    private void activateDueShares(MonotonicTime now) {
        boolean changed = false;
        for (Map.Entry<VmName, MonotonicTime> e : usableFrom.entrySet()) {
            if (!now.isBefore(e.getValue())) {
                changed |= usableShares.add(e.getKey());
            }
        }
        if (changed) {
            accrualStart = now;
            applyShares(now);
        }
    }

    private void applyShares(MonotonicTime now) {
        accounts.forEach((name, a) -> a.setShare(share(activeConfigs, name), now));
    }
}
