package org.lycheetray.edge.dialect;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import org.lycheetray.core.model.Endpoint;
import org.lycheetray.core.model.RegionName;

/** Format of the requests by which callers look up entry VMs, and of readiness checks. */
public interface LookupDialect {
    /**
     * A caller's look-up of entry VMs.
     *
     * @param host name of the host that the caller wants to reach, may be empty
     * @param region the caller's region, if stated
     */
    record LookupRequest(String host, Optional<RegionName> region) {}

    /**
     * Parses a look-up.
     *
     * @param uri path and query
     * @return the look-up, or empty if the URI is not one
     */
    Optional<LookupRequest> parseLookup(String uri);

    /**
     * Formats the answer to a look-up.
     *
     * @param vms addresses of entry VMs
     * @param ttl time for which the answer may be cached
     * @return body of the answer, JSON
     */
    byte[] formatAnswer(List<Endpoint> vms, Duration ttl);

    /**
     * Returns whether a request is a readiness check.
     *
     * @param uri path and query
     * @return true if it is one
     */
    boolean isReadinessCheck(String uri);
}
