package org.lycheetray.core.lookup;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.lycheetray.core.model.ClientAccountName;
import org.lycheetray.core.model.RegionName;
import org.lycheetray.core.model.ServiceName;
import org.lycheetray.core.model.Vm;
import org.lycheetray.core.slots.RendezvousHash;

/**
 * Ranks entry VMs for a caller.
 *
 * <p>VMs of the caller's region come first, then those of other regions by delay. Within a region, VMs are ordered by a
 * rendezvous hash of client account and service. The callers of one account thus use the same few VMs, whose token
 * buckets are full when a burst arrives, while different accounts are distributed over all VMs. When a VM leaves, only
 * the accounts for which it was ranked first move, and they are distributed over the remaining VMs. An account that
 * needs several VMs is distributed over them by the caller's address.
 */
public final class EntryVmRanking {
    private static final double TTL_JITTER_FRACTION = 0.2;
    private static final double UNIT_INTERVAL_DIVISOR = 0x1p53;

    private final List<EntryVm> vms;
    private final Map<RegionName, List<RegionName>> regionsByDelay;
    private final Duration ttl;

    /**
     * Creates an immutable ranking.
     *
     * @param vms live VMs, without those that are leaving
     * @param nearest for each region, all regions ordered by delay, starting with the region itself
     * @param ttl maximum time for which callers may cache an answer
     */
    public EntryVmRanking(Collection<EntryVm> vms, Map<RegionName, List<RegionName>> nearest, Duration ttl) {
        this.vms = List.copyOf(vms);
        this.regionsByDelay = Map.copyOf(nearest);
        this.ttl = ttl;
    }

    /**
     * Ranks the VMs for a caller.
     *
     * @param region the caller's region
     * @param service the requested service
     * @param account the caller's account, empty for routes without a key
     * @param caller a value that distinguishes callers, such as their address block
     * @param spread number of VMs over which the account's callers are distributed, at least 1
     * @return the VMs, best first
     */
    public List<Vm> rank(
            RegionName region, ServiceName service, Optional<ClientAccountName> account, long caller, int spread) {
        String key = account.map(a -> a + "/" + service).orElse(caller + "/" + service);
        List<Vm> ranked = new ArrayList<>();
        for (RegionName r : regionsByDelay.getOrDefault(region, List.of(region))) {
            ranked.addAll(rankInRegion(r, key, ranked.isEmpty() ? spread : 1, caller));
        }
        return ranked;
    }

    private List<Vm> rankInRegion(RegionName region, String key, int spread, long caller) {
        List<Vm> ordered = vms.stream()
                .filter(v -> v.region().equals(region))
                .sorted(Comparator.<EntryVm, Boolean>comparing(v -> !v.warm())
                        .thenComparingLong(
                                v -> -(RendezvousHash.score(key, v.vm().name().value()) >>> 1)))
                .map(EntryVm::vm)
                .toList();
        int warmCount = (int)
                vms.stream().filter(v -> v.region().equals(region) && v.warm()).count();
        int spreadCount = Math.min(Math.max(1, spread), Math.max(1, warmCount));
        if (spreadCount <= 1) {
            return ordered;
        }
        List<Vm> spreadOver = ordered.subList(0, Math.min(spreadCount, ordered.size()));
        List<Vm> result = new ArrayList<>(
                RendezvousHash.rank(
                                Long.toString(caller),
                                spreadOver.stream().map(Vm::name).toList())
                        .stream()
                        .map(n -> spreadOver.stream()
                                .filter(v -> v.name().equals(n))
                                .findFirst()
                                .orElseThrow())
                        .toList());
        result.addAll(ordered.subList(spreadOver.size(), ordered.size()));
        return result;
    }

    /**
     * Returns the time for which a caller may cache its answer. It varies by caller, so that callers do not all repeat
     * their lookups at the same time.
     *
     * @param caller a value that distinguishes callers
     * @return a time between four fifths of the maximum and the maximum
     */
    public Duration ttl(long caller) {
        double unit = (RendezvousHash.score("ttl", Long.toString(caller)) >>> 11) / UNIT_INTERVAL_DIVISOR;
        return Duration.ofMillis((long) (ttl.toMillis() * (1 - TTL_JITTER_FRACTION * unit)));
    }
}
