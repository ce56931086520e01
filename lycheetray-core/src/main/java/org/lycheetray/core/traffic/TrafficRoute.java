package org.lycheetray.core.traffic;

import java.time.Duration;
import java.util.List;
import java.util.Set;
import org.lycheetray.core.model.RegionName;

/**
 * Maps requests to services and says how they are treated.
 *
 * @param name unique name
 * @param host value of the Host header, without port
 * @param pathPrefix begins and ends with a slash; the longest match wins
 * @param parts services that share the requests, at least one
 * @param repetition what may be done after an attempt of unknown fate
 * @param timeout longest time that a request may be kept waiting
 * @param targetLatency time within which an answer is of full use
 * @param maxAttempts most backend servers that one request may be sent to, at least 1
 * @param priority rank, 0 is the most urgent
 * @param sticky true if requests for one object are faster where the object was handled before
 * @param open true if callers need no key
 * @param regions regions that may run, cache and store its requests; empty for all
 */
public record TrafficRoute(
        String name,
        String host,
        String pathPrefix,
        List<WeightedService> parts,
        Repetition repetition,
        Duration timeout,
        Duration targetLatency,
        int maxAttempts,
        int priority,
        boolean sticky,
        boolean open,
        Set<RegionName> regions) {
    /** Copies the collections and checks that there is a service. */
    public TrafficRoute {
        parts = List.copyOf(parts);
        regions = Set.copyOf(regions);
        if (parts.isEmpty()) {
            throw new IllegalArgumentException("route " + name + " has no service");
        }
    }

    /**
     * Tells whether a request of this route may run more than once.
     *
     * @return true if it is idempotent
     */
    public boolean isRepeatable() {
        return repetition == Repetition.REPEATABLE;
    }
}
