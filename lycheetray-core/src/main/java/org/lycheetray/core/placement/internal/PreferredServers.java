package org.lycheetray.core.placement.internal;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import org.lycheetray.core.model.RegionName;
import org.lycheetray.core.slots.RendezvousHash;

/**
 * The preferred server of each region for one object, selected by rendezvous hashing.
 *
 * <p>The selection depends only on the object and the names of the servers, so VMs that know the same servers agree
 * without coordination.
 */
public final class PreferredServers {
    private final Map<RegionName, ServerState> byRegion = new HashMap<>();

    /**
     * Selects the preferred servers.
     *
     * @param object key of the object
     * @param servers servers to select from
     */
    public PreferredServers(String object, Collection<ServerState> servers) {
        long seed = RendezvousHash.seed(object);
        Map<RegionName, Long> best = new HashMap<>();
        for (ServerState s : servers) {
            long score = RendezvousHash.score(seed, s.server().name().value()) >>> 1;
            Long before = best.get(s.region());
            if (before == null || score > before) {
                best.put(s.region(), score);
                byRegion.put(s.region(), s);
            }
        }
    }

    /**
     * Returns whether a server is the preferred one of its region.
     *
     * @param s the server
     * @return true if it is preferred
     */
    public boolean contains(ServerState s) {
        return byRegion.get(s.region()) == s;
    }
}
