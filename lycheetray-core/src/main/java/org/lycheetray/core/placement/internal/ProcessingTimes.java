package org.lycheetray.core.placement.internal;

import java.time.Duration;
import java.util.EnumMap;
import java.util.Map;
import org.lycheetray.core.placement.CacheAffinity;
import org.lycheetray.core.traffic.TrafficRoute;

/** Mean processing times of the requests of one route by cache affinity, measured from responses. */
public final class ProcessingTimes {
    private static final double SMOOTHING = 0.1;

    /** Initial estimate as a multiple of the target latency of the route; used until the first responses arrive. */
    private static final double INITIAL_UNKNOWN_FACTOR = 2;

    private static final double INITIAL_LIKELY_FACTOR = 1;

    private static final double INITIAL_KNOWN_FACTOR = 0.5;

    private final Map<CacheAffinity, Double> meanNanos = new EnumMap<>(CacheAffinity.class);

    /**
     * Creates the initial estimates for a route.
     *
     * @param route the route
     */
    public ProcessingTimes(TrafficRoute route) {
        double target = route.targetLatency().toNanos();
        meanNanos.put(CacheAffinity.UNKNOWN, INITIAL_UNKNOWN_FACTOR * target);
        meanNanos.put(CacheAffinity.LIKELY, (route.sticky() ? INITIAL_LIKELY_FACTOR : INITIAL_UNKNOWN_FACTOR) * target);
        meanNanos.put(CacheAffinity.KNOWN, (route.sticky() ? INITIAL_KNOWN_FACTOR : INITIAL_UNKNOWN_FACTOR) * target);
    }

    /**
     * Returns the expected processing time of a request.
     *
     * @param affinity cache affinity of the server with the object
     * @return nanoseconds at an unloaded server of average speed; never increases with higher affinity
     */
    public double expectedNanos(CacheAffinity affinity) {
        double unknown = meanNanos.get(CacheAffinity.UNKNOWN);
        double likely = Math.min(meanNanos.get(CacheAffinity.LIKELY), unknown);
        return switch (affinity) {
            case UNKNOWN -> unknown;
            case LIKELY -> likely;
            case KNOWN -> Math.min(meanNanos.get(CacheAffinity.KNOWN), likely);
        };
    }

    /**
     * Adds the processing time of one response to the moving average.
     *
     * @param affinity cache affinity that was estimated when the request was sent
     * @param took time from sending the request to receiving the complete response
     */
    public void record(CacheAffinity affinity, Duration took) {
        meanNanos.merge(affinity, (double) took.toNanos(), (old, t) -> old + SMOOTHING * (t - old));
    }
}
