package org.lycheetray.edge.exchange;

import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import org.lycheetray.core.model.RegionName;
import org.lycheetray.core.traffic.AccountPolicy;
import org.lycheetray.core.traffic.TrafficRoute;

/** Combines the regions of a route with those of an account. */
final class AllowedRegionsUtil {
    /** Placeholder that matches no server, used if the route and the account have no region in common. */
    private static final RegionName NO_COMMON_REGION = new RegionName("nowhere");

    private AllowedRegionsUtil() {}

    /**
     * Returns the regions in which a request may run.
     *
     * @param route route of the request
     * @param account account of the request, if any
     * @return the regions, empty if all are allowed
     */
    static Set<RegionName> regions(TrafficRoute route, Optional<AccountPolicy> account) {
        Set<RegionName> accountRegions = account.map(AccountPolicy::regions).orElse(Set.of());
        if (accountRegions.isEmpty() || route.regions().isEmpty()) {
            return accountRegions.isEmpty() ? route.regions() : accountRegions;
        }
        Set<RegionName> common = new HashSet<>(accountRegions);
        common.retainAll(route.regions());
        return common.isEmpty() ? Set.of(NO_COMMON_REGION) : common;
    }
}
