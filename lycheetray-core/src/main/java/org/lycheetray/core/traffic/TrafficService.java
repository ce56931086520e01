package org.lycheetray.core.traffic;

import java.time.Duration;
import org.lycheetray.core.model.ServiceName;

/**
 * A service and the limits of its backend servers.
 *
 * @param name unique name
 * @param healthCheckPath path that answers 200 while a backend server is well
 * @param maxConnections connections that one backend server accepts from the whole fleet
 * @param coldStart time that a backend server stays cold after a start during traffic
 * @param coldPerSecond requests per second that a cold backend server tolerates from the whole fleet
 */
public record TrafficService(
        ServiceName name, String healthCheckPath, int maxConnections, Duration coldStart, double coldPerSecond) {}
