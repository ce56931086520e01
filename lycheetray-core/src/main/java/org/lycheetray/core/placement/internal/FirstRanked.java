package org.lycheetray.core.placement.internal;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import org.lycheetray.core.model.RegionName;
import org.lycheetray.core.slots.RendezvousHash;

/**
 * The server of each region that all VMs prefer for one object, by rendezvous hashing.
 *
 * <p>It follows from the object and the servers' names alone, so VMs that see the same servers agree without messages.
 */
public final class FirstRanked {
    private final Map<RegionName, ServerState> first = new HashMap<>();

    /**
     * Ranks servers.
     *
     * @param object the object
     * @param servers the servers, in one pass
     */
    public FirstRanked(String object, Collection<ServerState> servers) {
        long seed = RendezvousHash.seed(object);
        Map<RegionName, Long> best = new HashMap<>();
        for (ServerState s : servers) {
            long score = RendezvousHash.score(seed, s.server().name().value()) >>> 1;
            Long before = best.get(s.region());
            if (before == null || score > before) {
                best.put(s.region(), score);
                first.put(s.region(), s);
            }
        }
    }

    /**
     * Tells whether a server is the preferred one of its region.
     *
     * @param s the server
     * @return true if it is
     */
    public boolean contains(ServerState s) {
        return first.get(s.region()) == s;
    }
}
