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
 * @param route its route
 * @param service the service that it was assigned to
 * @param object what it concerns, if its route is sticky and it says so
 * @param regions regions that may run it; empty for all
 * @param received when it arrived
 * @param target point until which an answer is of full use
 * @param end point after which an answer is of no use
 * @param tried servers that it was sent to
 */
public record PlacementRequest(
        TrafficRoute route,
        ServiceName service,
        Optional<String> object,
        Set<RegionName> regions,
        MonotonicTime received,
        MonotonicTime target,
        MonotonicTime end,
        Set<BackendServerName> tried) {}
