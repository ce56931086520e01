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
 * Splits every client account's rate and burst among the VMs that a manifest declares.
 *
 * <p>The split follows from the manifest alone, so all VMs that know the same version agree on it without a message,
 * and the parts add up to the whole exactly. A VM that gets a part is a holder. A holder's burst is at least one token,
 * since a bucket of less could never admit a request by itself; an account with a small burst therefore has few
 * holders. Every data centre has a holder before any has two, so that a data centre that is cut off can go on.
 *
 * <p>Holders are ranked by rendezvous hash within their data centre, so a change of the VMs moves few parts.
 */
public final class BaseShares {
    /** Tokens of burst that make another holder worth having once every data centre has one. */
    private static final long BURST_PER_HOLDER = 3;

    private final Map<ClientAccountName, ClientAccount> accounts = new HashMap<>();
    private final Map<DataCentreName, List<Vm>> vmsByDataCentre = new TreeMap<>(Comparator.comparing(Object::toString));
    private final List<Vm> vms;
    private final List<ClientAccount> declaredAccounts;
    private final Map<ClientAccountName, List<VmName>> holders = new HashMap<>();

    /**
     * Prepares the split of a manifest; shares are computed when first asked for.
     *
     * @param manifest accounts and VMs
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
     * Gives an account's whole rate and burst.
     *
     * @param account name of the account
     * @return empty if the manifest does not declare the account
     */
    public Optional<RateShare> total(ClientAccountName account) {
        return Optional.ofNullable(accounts.get(account)).map(a -> RateShare.of(a.rate()));
    }

    /**
     * Gives one VM's part.
     *
     * @param account name of the account
     * @param vm name of the VM
     * @return its part, {@link RateShare#NONE} if it is no holder
     */
    public RateShare share(ClientAccountName account, VmName vm) {
        List<VmName> h = holders(account);
        int at = h.indexOf(vm);
        if (at < 0) {
            return RateShare.NONE;
        }
        RateShare whole = total(account).orElseThrow();
        return new RateShare(portion(whole.rate(), h.size(), at), portion(whole.burst(), h.size(), at));
    }

    private static long portion(long whole, int parts, int at) {
        return whole / parts + (at < whole % parts ? 1 : 0);
    }

    /**
     * Lists the VMs that have a part of an account.
     *
     * @param account name of the account
     * @return the holders, one of each data centre first; empty for an unknown account
     */
    public List<VmName> holders(ClientAccountName account) {
        ClientAccount a = accounts.get(account);
        return a == null ? List.of() : holders.computeIfAbsent(account, n -> selectHolders(a));
    }

    private List<VmName> selectHolders(ClientAccount account) {
        long burst = account.rate().burst();
        long inEachDataCentre = Math.min(vmsByDataCentre.size(), burst);
        long count = Math.min(vms.size(), Math.max(inEachDataCentre, burst / BURST_PER_HOLDER));
        return rankVms(account.name()).stream()
                .limit(count)
                .map(r -> r.vm().name())
                .toList();
    }

    private List<RankedVm> rankVms(ClientAccountName account) {
        List<RankedVm> all = new ArrayList<>(vms.size());
        for (List<Vm> local : vmsByDataCentre.values()) {
            List<Vm> sorted = local.stream()
                    .sorted(Comparator.<Vm>comparingLong(
                                    vm -> hash(account, vm.name().value()))
                            .thenComparing(Vm::name))
                    .toList();
            long dataCentreHash = hash(account, local.getFirst().dataCentre().value());
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
