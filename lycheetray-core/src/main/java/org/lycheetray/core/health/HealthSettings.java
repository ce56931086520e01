package org.lycheetray.core.health;

import java.time.Duration;

/**
 * Limits of the judgement of backend servers.
 *
 * @param ejectAtScore sum of evidence weights, since the last success, at which a server is ejected
 * @param firstEjection length of a first ejection; each repeated one is twice as long
 * @param longestEjection longest ejection
 * @param largestEjectedShare largest share of a service's servers that may be ejected at a time
 * @param passiveOutranks time for which an answered request outranks a report that the server is unhealthy
 * @param reportTrusted age at which a report no longer counts
 * @param slowStartShare share of its slots that a fresh server starts with
 */
public record HealthSettings(
        int ejectAtScore,
        Duration firstEjection,
        Duration longestEjection,
        double largestEjectedShare,
        Duration passiveOutranks,
        Duration reportTrusted,
        double slowStartShare) {
    /** Settings for services of a dozen servers with few slots each. */
    public static final HealthSettings DEFAULT = new HealthSettings(
            6, Duration.ofSeconds(2), Duration.ofSeconds(60), 0.5, Duration.ofSeconds(3), Duration.ofSeconds(10), 0.34);
}
