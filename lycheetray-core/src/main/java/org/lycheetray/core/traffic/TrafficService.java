package org.lycheetray.core.traffic;

import java.time.Duration;
import org.lycheetray.core.model.ServiceName;

/**
 * A service and the limits of its backend servers.
 *
 * @param name unique name
 * @param healthCheckPath path that responds with 200 while a backend server is healthy
 * @param maxConnections maximum number of connections to one backend server from the whole fleet
 * @param coldStart time for which a backend server stays cold after starting while traffic is being served
 * @param coldRequestsPerSecond maximum requests per second to one cold backend server from the whole fleet
 */
public record TrafficService(
        ServiceName name,
        String healthCheckPath,
        int maxConnections,
        Duration coldStart,
        double coldRequestsPerSecond) {}
