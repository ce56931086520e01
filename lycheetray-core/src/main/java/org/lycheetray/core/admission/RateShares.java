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
 * Decides at one VM whether a request is within its client account's fleet-wide rate and burst.
 *
 * <p>Each VM owns a base share of every account, as {@link BaseShares} says, and borrows more from its peers when it is
 * short. At every moment the rates of all buckets and of all loans in use add up to at most the account's rate, and
 * their capacities to at most its burst; tokens move but are never created. So in any window of t seconds the fleet
 * admits at most burst plus rate times t requests, whatever becomes of processes and messages.
 *
 * <p>A share may be used only after {@link #hold}: a new process names a point at which whatever its predecessor has
 * lent is no longer in use. With several configurations that may be in force at some VM, the lowest share of all of them
 * counts. State is kept for accounts with demand only. For one thread.
 */
public final class RateShares {
    private static final int SMALL_FLEET = 16;

    private final VmName localVm;
    private final VmContext context;
    private final RateSharesOptions options;
    private final Map<ClientAccountName, AccountRateLimiter> accounts = new HashMap<>();
    private final Map<VmName, MonotonicTime> usableFrom = new LinkedHashMap<>();
    private final Set<VmName> usableShares = new HashSet<>();
    private final Set<VmName> unreachable = new HashSet<>();
    private List<BaseShares> activeConfigs = List.of();
    private List<VmName> vmsByProximity = List.of();
    private MonotonicTime accrualStart = MonotonicTime.ZERO;

    /**
     * Creates the state of a new process, which holds no share yet.
     *
     * @param self this process
     * @param options times, the same on all VMs
     */
    public RateShares(Incarnation self, RateSharesOptions options) {
        this.localVm = self.vm();
        this.options = options;
        this.context = new VmContext(self, options, vm -> !vm.equals(this.localVm) && !unreachable.contains(vm));
    }

    /**
     * Sets the configurations that may be in force at some VM.
     *
     * @param manifests the accepted one last; before it any pending one and any earlier one that a VM may not have left
     *     yet
     * @param now present point
     */
    public void onConfig(List<Manifest> manifests, MonotonicTime now) {
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

    /** Creates the state of accounts that change, since an account without state is taken to have had one share. */
    private void createChangedAccounts(List<BaseShares> next, MonotonicTime now) {
        Set<ClientAccountName> names = new HashSet<>();
        next.forEach(b -> names.addAll(b.accounts()));
        names.stream()
                .filter(n -> !share(next, n).equals(share(activeConfigs, n)))
                .forEach(n -> account(n, now));
    }

    private List<VmName> sortByProximity(List<Vm> vms) {
        Vm own = vms.stream().filter(v -> v.name().equals(localVm)).findFirst().orElse(null);
        List<Vm> others = new ArrayList<>(vms);
        int start = own == null ? 0 : others.indexOf(own);
        Collections.rotate(others, -start);
        others.sort(Comparator.comparing(v -> own == null || !v.dataCentre().equals(own.dataCentre())));
        return others.stream().map(Vm::name).filter(n -> !n.equals(localVm)).toList();
    }

    /**
     * Lets this VM use a base share: its own, or that of a VM which is gone and whose heir it is.
     *
     * @param share VM that the share is named after
     * @param from point from which nothing that an earlier owner lent is in use
     * @param now present point
     */
    public void hold(VmName share, MonotonicTime from, MonotonicTime now) {
        usableFrom.put(share, from);
        activateDueShares(now);
    }

    /**
     * Stops using a base share; loans out of it run until they are back, see {@link #hasNoExcessLoans}.
     *
     * @param share VM that the share is named after
     * @param now present point
     */
    public void releaseShare(VmName share, MonotonicTime now) {
        if (usableFrom.remove(share) != null && usableShares.remove(share)) {
            applyShares(now);
        }
    }

    /**
     * Tells whether no loan granted under an earlier configuration or out of a released share exceeds what this VM holds
     * now. Only then may a lower configuration be acknowledged, or a released share be used by another VM.
     *
     * @param now present point
     * @return true if so
     */
    public boolean hasNoExcessLoans(MonotonicTime now) {
        return accounts.values().stream().noneMatch(a -> a.hasExcessLoans(now));
    }

    /**
     * Names VMs that are of no use to ask.
     *
     * @param vms VMs that membership calls dead or unreachable
     */
    public void onUnreachable(Set<VmName> vms) {
        unreachable.clear();
        unreachable.addAll(vms);
    }

    /**
     * Decides on a request.
     *
     * @param name client account whose key came with it
     * @param deadline point at which the request is of no use any more
     * @param now present point
     * @return the decision and messages to send
     */
    public Admission admit(ClientAccountName name, MonotonicTime deadline, MonotonicTime now) {
        activateDueShares(now);
        if (!isDeclared(name)) {
            Limits none = new Limits(0, 0, 0, options.rest());
            return new Admission(
                    new RateDecision.Refused(RateDecision.Reason.UNKNOWN_ACCOUNT, options.rest(), none), List.of());
        }
        List<RateEffect> out = new ArrayList<>();
        RateDecision d = account(name, now).admit(deadline, now, out);
        return new Admission(d, out);
    }

    /**
     * Withdraws a waiting request whose caller has gone.
     *
     * @param name client account of the request
     * @param ticket names the request
     */
    public void cancel(ClientAccountName name, long ticket) {
        AccountRateLimiter a = accounts.get(name);
        if (a != null) {
            a.cancel(ticket);
        }
    }

    /**
     * Handles a message.
     *
     * @param from sender
     * @param message the message
     * @param now present point
     * @return what must be done
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
     * Does what is due; to be called every 20 ms or so.
     *
     * @param now present point
     * @return what must be done
     */
    public List<RateEffect> tick(MonotonicTime now) {
        activateDueShares(now);
        List<RateEffect> out = new ArrayList<>();
        accounts.values().forEach(a -> a.tick(now, out));
        accounts.values().removeIf(a -> a.isIdle(now));
        return out;
    }

    /**
     * Returns all loans, before the process ends.
     *
     * @return the messages
     */
    public List<RateEffect> returnAll() {
        List<RateEffect> out = new ArrayList<>();
        accounts.values().forEach(a -> a.returnAllLoans(out));
        return out;
    }

    /**
     * Gives the rate and capacity of all buckets that this VM may use now, its own and borrowed. Over the fleet they add
     * up to at most the account's rate and burst.
     *
     * @param name client account
     * @param now present point
     * @return the sum, without what is lent to others
     */
    public RateShare held(ClientAccountName name, MonotonicTime now) {
        activateDueShares(now);
        AccountRateLimiter a = accounts.get(name);
        return a == null ? share(activeConfigs, name) : a.held(now);
    }

    /**
     * Tells how many client accounts have state here.
     *
     * @return the number
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
        TokenBucket untouched = new TokenBucket(share.rate(), share.burst(), 0, accrualStart);
        untouched.refill(now);
        AccountRateLimiter a = new AccountRateLimiter(context, name, total(name), share, untouched.tokens(), now);
        configure(name, a, now);
        return a;
    }

    private void configure(ClientAccountName name, AccountRateLimiter a, MonotonicTime now) {
        List<VmName> holders =
                activeConfigs.isEmpty() ? List.of() : activeConfigs.getLast().holders(name);
        a.configure(total(name), share(activeConfigs, name), holders.size(), candidates(holders), now);
    }

    /** Holders, the nearest first; in a small fleet then the others, which may hold loans that they do not need. */
    private List<VmName> candidates(List<VmName> holders) {
        Stream<VmName> near = vmsByProximity.stream().filter(holders::contains);
        if (vmsByProximity.size() > SMALL_FLEET) {
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
