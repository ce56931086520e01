package org.lycheetray.core.traffic;

import java.util.OptionalInt;
import java.util.Set;
import org.lycheetray.core.model.ClientAccountName;
import org.lycheetray.core.model.RegionName;

/**
 * A client account with its keys, limits and permitted regions.
 *
 * @param name unique name
 * @param keys valid API keys, as sent by callers
 * @param priority priority that overrides the priority of the route, 0 being the highest; empty to use that of the
 *     route
 * @param requestsPerSecond rate limit in requests per second over the whole fleet; 0 for no limit
 * @param burst number of requests that may arrive at once in excess of the rate
 * @param regions regions in which its requests may be run, cached and stored; empty for all
 */
public record AccountPolicy(
        ClientAccountName name,
        Set<String> keys,
        OptionalInt priority,
        double requestsPerSecond,
        double burst,
        Set<RegionName> regions) {
    /** Creates a policy with immutable copies of the sets. */
    public AccountPolicy {
        keys = Set.copyOf(keys);
        regions = Set.copyOf(regions);
    }

    /**
     * Returns whether the account has a rate limit.
     *
     * @return false if its request rate is unlimited
     */
    public boolean isLimited() {
        return requestsPerSecond > 0;
    }
}
