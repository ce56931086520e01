package org.lycheetray.core.placement;

import java.util.Optional;
import java.util.Set;
import org.lycheetray.core.model.BackendServerName;
import org.lycheetray.core.model.RegionName;
import org.lycheetray.core.model.ServiceName;
import org.lycheetray.core.time.MonotonicTime;
import org.lycheetray.core.traffic.TrafficRoute;

/**
 * A request that needs a backend server.
 *
 * @param route route of the request
 * @param service service to which the traffic split assigned the request
 * @param object affinity key of the request, if its route is sticky and the request has one
 * @param regions regions in which the request may run; empty for all
 * @param received time of arrival
 * @param targetTime time by which the response is due under the target latency of the route
 * @param deadline deadline after which a response is useless
 * @param tried servers to which the request was already sent
 */
public record PlacementRequest(
        TrafficRoute route,
        ServiceName service,
        Optional<String> object,
        Set<RegionName> regions,
        MonotonicTime received,
        MonotonicTime targetTime,
        MonotonicTime deadline,
        Set<BackendServerName> tried) {}
