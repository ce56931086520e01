package org.lycheetray.core.health;

import java.time.Duration;

/**
 * Thresholds and durations for health tracking of backend servers.
 *
 * @param ejectAtScore sum of the evidence weights since the last success at which a server is ejected
 * @param firstEjection duration of the first ejection; each further one is twice as long
 * @param maxEjection maximum duration of an ejection
 * @param maxEjectedShare maximum share of the servers of a service that may be ejected at the same time
 * @param answerPrecedence time for which an answered request takes precedence over a report that the server is
 *     unhealthy
 * @param maxReportAge age from which a report is ignored
 * @param slowStartShare share of its slots with which a server begins slow start
 */
public record HealthSettings(
        int ejectAtScore,
        Duration firstEjection,
        Duration maxEjection,
        double maxEjectedShare,
        Duration answerPrecedence,
        Duration maxReportAge,
        double slowStartShare) {
    /** Default settings, suitable for services of a dozen servers with few slots each. */
    public static final HealthSettings DEFAULT = new HealthSettings(
            6, Duration.ofSeconds(2), Duration.ofSeconds(60), 0.5, Duration.ofSeconds(3), Duration.ofSeconds(10), 0.34);
}
