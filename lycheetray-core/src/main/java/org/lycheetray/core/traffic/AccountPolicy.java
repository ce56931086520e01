package org.lycheetray.core.traffic;

import java.util.OptionalInt;
import java.util.Set;
import org.lycheetray.core.model.ClientAccountName;
import org.lycheetray.core.model.RegionName;

/**
 * A client account and what it may do.
 *
 * @param name unique name
 * @param keys its valid keys, as callers send them
 * @param priority rank that replaces the route's, 0 is the most urgent; empty if the route's counts
 * @param perSecond requests per second over the whole fleet; 0 for no limit
 * @param burst requests beyond the rate that may come at once
 * @param regions regions that may run, cache and store its requests; empty for all
 */
public record AccountPolicy(
        ClientAccountName name,
        Set<String> keys,
        OptionalInt priority,
        double perSecond,
        double burst,
        Set<RegionName> regions) {
    /** Copies the sets. */
    public AccountPolicy {
        keys = Set.copyOf(keys);
        regions = Set.copyOf(regions);
    }

    /**
     * Tells whether the account has a limit.
     *
     * @return false if it may send as much as it likes
     */
    public boolean isLimited() {
        return perSecond > 0;
    }
}
