package org.lycheetray.standin.backend;

import java.time.Duration;
import java.util.Map;
import java.util.Random;
import org.lycheetray.core.model.ServiceName;

/** How long runs take: a mean for each service with a seeded spread of half the mean to either side. */
final class ServiceTimes {
    private static final double COLD_FACTOR = 4;

    private final Map<ServiceName, Duration> means;
    private final Duration standard;
    private final Random random;

    ServiceTimes(Map<ServiceName, Duration> means, Duration standard, long seed) {
        this.means = Map.copyOf(means);
        this.standard = standard;
        this.random = new Random(seed);
    }

    /** Draws a time; warmth is 0 for a server that has just started and 1 for a warm one. */
    Duration draw(ServiceName service, double warmth) {
        double mean = means.getOrDefault(service, standard).toNanos();
        double cold = COLD_FACTOR + (1 - COLD_FACTOR) * Math.clamp(warmth, 0, 1);
        return Duration.ofNanos((long) (mean * cold * spread()));
    }

    private synchronized double spread() {
        return 0.5 + random.nextDouble();
    }
}
