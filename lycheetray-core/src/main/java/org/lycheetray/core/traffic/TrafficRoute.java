package org.lycheetray.core.traffic;

import java.time.Duration;
import java.util.List;
import java.util.Set;
import org.lycheetray.core.model.RegionName;

/**
 * A route: which requests it matches, the services that run them and how the requests are handled.
 *
 * @param name unique name
 * @param host value of the Host header, without a port
 * @param pathPrefix path prefix that begins and ends with a slash; the longest match wins
 * @param parts services over which the requests are distributed, at least one
 * @param retrySafety whether a request may be sent again when it is unknown if an attempt was run
 * @param timeout maximum time from the arrival of a request to its response
 * @param targetLatency desired time from the arrival of a request to its response
 * @param maxAttempts maximum number of backend servers to which one request may be sent, at least 1
 * @param priority priority of the requests, 0 being the highest
 * @param sticky true if requests for one object run faster on servers that handled the object before
 * @param anonymous true if callers need no API key
 * @param regions regions in which its requests may be run, cached and stored; empty for all
 */
public record TrafficRoute(
        String name,
        String host,
        String pathPrefix,
        List<WeightedService> parts,
        RetrySafety retrySafety,
        Duration timeout,
        Duration targetLatency,
        int maxAttempts,
        int priority,
        boolean sticky,
        boolean anonymous,
        Set<RegionName> regions) {
    /**
     * Creates a route with immutable copies of the collections.
     *
     * @throws IllegalArgumentException if there is no service
     */
    public TrafficRoute {
        parts = List.copyOf(parts);
        regions = Set.copyOf(regions);
        if (parts.isEmpty()) {
            throw new IllegalArgumentException("route " + name + " has no service");
        }
    }

    /**
     * Returns whether requests of this route may be run more than once.
     *
     * @return true if the requests are idempotent
     */
    public boolean isIdempotent() {
        return retrySafety == RetrySafety.REPEATABLE;
    }
}
