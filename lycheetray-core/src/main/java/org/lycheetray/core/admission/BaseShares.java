package org.lycheetray.core.admission;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import org.lycheetray.core.model.ClientAccount;
import org.lycheetray.core.model.ClientAccountName;
import org.lycheetray.core.model.DataCentreName;
import org.lycheetray.core.model.Manifest;
import org.lycheetray.core.model.Vm;
import org.lycheetray.core.model.VmName;

/**
 * Splits the rate and burst of each client account among the VMs that a manifest declares.
 *
 * <p>The split depends only on the manifest, so all VMs that have the same version compute the same split without
 * exchanging messages. The shares add up exactly to the account's total. A VM with a share is called a holder. The
 * burst of a holder is at least one token, because a bucket with a smaller capacity could never admit a request by
 * itself; an account with a small burst therefore has few holders. Each data centre gets a holder before any gets a
 * second one, so that a data centre can go on serving while it is partitioned from the others.
 *
 * <p>VMs are ranked by rendezvous hashing within their data centre, so that adding or removing a VM moves few shares.
 */
public final class BaseShares {
    /** Tokens of burst per holder, once each data centre has a holder. */
    private static final long BURST_PER_HOLDER = 3;

    private final Map<ClientAccountName, ClientAccount> accounts = new HashMap<>();
    private final Map<DataCentreName, List<Vm>> vmsByDataCentre = new TreeMap<>(Comparator.comparing(Object::toString));
    private final List<Vm> vms;
    private final List<ClientAccount> declaredAccounts;
    private final Map<ClientAccountName, List<VmName>> holders = new HashMap<>();

    /**
     * Creates the split of a manifest. Shares are computed on first use.
     *
     * @param manifest manifest that declares the accounts and VMs
     */
    public BaseShares(Manifest manifest) {
        manifest.clientAccounts().forEach(a -> accounts.put(a.name(), a));
        manifest.vms()
                .forEach(vm -> vmsByDataCentre
                        .computeIfAbsent(vm.dataCentre(), d -> new ArrayList<>())
                        .add(vm));
        vms = manifest.vms();
        declaredAccounts = manifest.clientAccounts();
    }

    boolean matches(Manifest manifest) {
        return vms.equals(manifest.vms()) && declaredAccounts.equals(manifest.clientAccounts());
    }

    Set<ClientAccountName> accounts() {
        return accounts.keySet();
    }

    /**
     * Returns the rate and burst of an account over the whole fleet.
     *
     * @param account name of the account
     * @return the total, or empty if the manifest does not declare the account
     */
    public Optional<RateShare> total(ClientAccountName account) {
        return Optional.ofNullable(accounts.get(account)).map(a -> RateShare.of(a.rate()));
    }

    /**
     * Returns the share of a VM in an account.
     *
     * @param account name of the account
     * @param vm name of the VM
     * @return the share, {@link RateShare#NONE} if the VM is not a holder
     */
    public RateShare share(ClientAccountName account, VmName vm) {
        List<VmName> h = holders(account);
        int at = h.indexOf(vm);
        if (at < 0) {
            return RateShare.NONE;
        }
        RateShare total = total(account).orElseThrow();
        return new RateShare(portion(total.rate(), h.size(), at), portion(total.burst(), h.size(), at));
    }

    private static long portion(long total, int parts, int at) {
        return total / parts + (at < total % parts ? 1 : 0);
    }

    /**
     * Returns the VMs that have a share of an account.
     *
     * @param account name of the account
     * @return the holders, one of each data centre first; empty if the account is unknown
     */
    public List<VmName> holders(ClientAccountName account) {
        ClientAccount a = accounts.get(account);
        return a == null ? List.of() : holders.computeIfAbsent(account, n -> selectHolders(a));
    }

    private List<VmName> selectHolders(ClientAccount account) {
        long burst = account.rate().burst();
        long onePerDataCentre = Math.min(vmsByDataCentre.size(), burst);
        long count = Math.min(vms.size(), Math.max(onePerDataCentre, burst / BURST_PER_HOLDER));
        return rankVms(account.name()).stream()
                .limit(count)
                .map(r -> r.vm().name())
                .toList();
    }

    private List<RankedVm> rankVms(ClientAccountName account) {
        List<RankedVm> all = new ArrayList<>(vms.size());
        for (List<Vm> inDataCentre : vmsByDataCentre.values()) {
            List<Vm> sorted = inDataCentre.stream()
                    .sorted(Comparator.<Vm>comparingLong(
                                    vm -> hash(account, vm.name().value()))
                            .thenComparing(Vm::name))
                    .toList();
            long dataCentreHash =
                    hash(account, inDataCentre.getFirst().dataCentre().value());
            for (int i = 0; i < sorted.size(); i++) {
                all.add(new RankedVm(i, dataCentreHash, sorted.get(i)));
            }
        }
        all.sort(Comparator.comparingInt(RankedVm::rank)
                .thenComparingLong(RankedVm::dataCentreHash)
                .thenComparing(r -> r.vm().name()));
        return all;
    }

    private static long hash(ClientAccountName account, String name) {
        long h = 0xcbf29ce484222325L;
        for (byte b : (account + "/" + name).getBytes(StandardCharsets.UTF_8)) {
            h = (h ^ b) * 0x100000001b3L;
        }
        h = (h ^ (h >>> 33)) * 0xff51afd7ed558ccdL;
        return h ^ (h >>> 33);
    }

    /** A VM and its rank within its data centre. */
    private record RankedVm(int rank, long dataCentreHash, Vm vm) {}
}
