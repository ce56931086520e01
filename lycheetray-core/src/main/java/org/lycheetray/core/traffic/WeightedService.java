package org.lycheetray.core.traffic;

import org.lycheetray.core.model.ServiceName;

/**
 * One part of a route's traffic.
 *
 * @param service service that runs the part
 * @param weight share relative to the route's other parts, at least 0
 */
public record WeightedService(ServiceName service, int weight) {}
