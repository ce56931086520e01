package org.lycheetray.core.allowance;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.lycheetray.core.model.BackendServerName;
import org.lycheetray.core.model.RegionName;
import org.lycheetray.core.model.VmName;
import org.lycheetray.core.slots.RendezvousHash;

/**
 * Divides the rates of requests that backend servers accept from the fleet among its VMs.
 *
 * <p>A rate of a few requests per second cannot be divided among all VMs of a large fleet: each VM would have to save
 * its share for minutes, and all VMs together could then send at once. Therefore only a few VMs use each server, those
 * in its region first. All VMs select them alike by rendezvous hashing, without messages, so the sum stays within the
 * rate also while the fleet is partitioned: the shares of unreachable VMs stay theirs until they leave as planned. A VM
 * that does not know the other VMs yet has no shares. Not thread-safe.
 */
public final class RateShares {
    private final VmName localVm;
    private final RegionName localRegion;
    private final Map<BackendServerName, Integer> ranks = new HashMap<>();
    private Optional<Map<VmName, RegionName>> otherVms = Optional.empty();

    /**
     * This VM's share of a rate.
     *
     * @param rank position of this VM among those that use the server, from 0
     * @param users number of VMs that use the server
     */
    public record Share(int rank, int users) {
        /**
         * Returns the fraction of the rate that belongs to this VM.
         *
         * @return the fraction, above 0
         */
        public double fraction() {
            return 1.0 / users;
        }

        /**
         * Returns the initial tokens of this VM's bucket. They differ between the VMs, so that the first requests of
         * all VMs are spread over time.
         *
         * @return the tokens, below 1
         */
        public double initialTokens() {
            return (double) (users - 1 - rank) / users;
        }
    }

    /**
     * Creates an instance of a VM that does not know the other VMs yet, and thus has no shares.
     *
     * @param localVm name of the local VM
     * @param localRegion region of the local VM
     */
    public RateShares(VmName localVm, RegionName localRegion) {
        this.localVm = localVm;
        this.localRegion = localRegion;
    }

    /**
     * Replaces the list of other VMs.
     *
     * @param others the other VMs, each with its region
     */
    public void updateVms(Map<VmName, RegionName> others) {
        Map<VmName, RegionName> next = Map.copyOf(others);
        if (!otherVms.equals(Optional.of(next))) {
            otherVms = Optional.of(next);
            ranks.clear();
        }
    }

    /**
     * Removes what is remembered about servers that no longer exist.
     *
     * @param present names of the registered servers
     */
    public void retainServers(Collection<BackendServerName> present) {
        ranks.keySet().retainAll(present);
    }

    /**
     * Returns the number of VMs.
     *
     * @return number of VMs, including the local VM
     */
    public int vmCount() {
        return otherVms.map(Map::size).orElse(0) + 1;
    }

    /**
     * Returns this VM's share of the rate of a server.
     *
     * @param server the server
     * @param region region of the server
     * @param maxUsers maximum number of VMs that use the server
     * @return the share, or empty if other VMs use the server or the other VMs are not known yet
     */
    public Optional<Share> share(BackendServerName server, RegionName region, int maxUsers) {
        if (otherVms.isEmpty()) {
            return Optional.empty();
        }
        int users = Math.clamp(maxUsers, 1, vmCount());
        int rank = ranks.computeIfAbsent(server, s -> rank(s, region));
        return rank < users ? Optional.of(new Share(rank, users)) : Optional.empty();
    }

    private int rank(BackendServerName server, RegionName region) {
        boolean local = region.equals(localRegion);
        long localScore = score(server, localVm);
        int rank = 0;
        for (Map.Entry<VmName, RegionName> other : otherVms.orElseThrow().entrySet()) {
            boolean otherLocal = region.equals(other.getValue());
            boolean precedes = otherLocal == local ? score(server, other.getKey()) > localScore : otherLocal;
            rank += precedes ? 1 : 0;
        }
        return rank;
    }

    private static long score(BackendServerName server, VmName vm) {
        return RendezvousHash.score(server.value(), vm.value()) >>> 1;
    }
}
