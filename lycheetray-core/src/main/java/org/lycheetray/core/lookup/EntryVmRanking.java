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
 * <p>VMs of the caller's region come first, then other regions by delay. Within a region the order is a rendezvous hash
 * of client account and service, so that one account's callers meet the same few VMs and a burst finds their token
 * buckets full, while accounts spread over all VMs. When a VM leaves, only the callers that it was first for move, and
 * each account of theirs to another VM. An account that needs several VMs is spread over them by the caller's address.
 */
public final class EntryVmRanking {
    private static final double TTL_JITTER_FRACTION = 0.2;
    private static final double UNIT_INTERVAL_DIVISOR = 0x1p53;

    private final List<EntryVm> vms;
    private final Map<RegionName, List<RegionName>> regionsByDelay;
    private final Duration ttl;

    /**
     * Creates a ranking; immutable.
     *
     * @param vms live VMs, leaving ones left out
     * @param nearest for each region all regions by delay, itself first
     * @param ttl longest time for which callers may cache an answer
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
     * @param service the service wanted
     * @param account the caller's account, empty for routes without key
     * @param caller something that tells callers apart, such as the address block
     * @param spread number of VMs that the account's callers are spread over, at least 1
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
        List<Vm> of = vms.stream()
                .filter(v -> v.region().equals(region))
                .sorted(Comparator.<EntryVm, Boolean>comparing(v -> !v.warm())
                        .thenComparingLong(
                                v -> -(RendezvousHash.score(key, v.vm().name().value()) >>> 1)))
                .map(EntryVm::vm)
                .toList();
        int warm = (int)
                vms.stream().filter(v -> v.region().equals(region) && v.warm()).count();
        int first = Math.min(Math.max(1, spread), Math.max(1, warm));
        if (first <= 1) {
            return of;
        }
        List<Vm> spreadOver = of.subList(0, Math.min(first, of.size()));
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
        result.addAll(of.subList(spreadOver.size(), of.size()));
        return result;
    }

    /**
     * Gives the time for which a caller may cache its answer, so that callers do not all come back at once.
     *
     * @param caller something that tells callers apart
     * @return at most the longest time, and at least four fifths of it
     */
    public Duration ttl(long caller) {
        double unit = (RendezvousHash.score("ttl", Long.toString(caller)) >>> 11) / UNIT_INTERVAL_DIVISOR;
        return Duration.ofMillis((long) (ttl.toMillis() * (1 - TTL_JITTER_FRACTION * unit)));
    }
}
