package org.lycheetray.core.traffic;

import org.lycheetray.core.model.ServiceName;

/**
 * A service with its share of the traffic of a route.
 *
 * @param service the service
 * @param weight weight relative to the other services of the route, at least 0
 */
public record WeightedService(ServiceName service, int weight) {}
