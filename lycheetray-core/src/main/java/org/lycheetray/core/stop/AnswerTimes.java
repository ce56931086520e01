package org.lycheetray.core.stop;

import java.time.Duration;
import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import org.lycheetray.core.traffic.TrafficRoute;

/**
 * Estimates of the time within which backend servers are likely to answer the requests of a route.
 *
 * <p>The estimate is the smoothed mean plus four times the smoothed deviation, as for the retransmission timeout of TCP
 * (RFC 6298, section 2). Not thread-safe.
 */
public final class AnswerTimes {
    private static final double MEAN_SMOOTHING = 1.0 / 8;
    private static final double DEVIATION_SMOOTHING = 1.0 / 4;
    private static final double DEVIATION_FACTOR = 4;

    /** Estimate as a multiple of the target latency of a route from which no answer has arrived. */
    private static final int INITIAL_TARGET_FACTOR = 2;

    private final Map<String, Estimate> byRoute = new HashMap<>();

    /** Smoothed mean and mean deviation, in nanoseconds. */
    private record Estimate(double mean, double deviation) {
        Estimate with(double sample) {
            double d = deviation + DEVIATION_SMOOTHING * (Math.abs(sample - mean) - deviation);
            return new Estimate(mean + MEAN_SMOOTHING * (sample - mean), d);
        }
    }

    /**
     * Adds the time that a server took to answer a request.
     *
     * @param route route of the request
     * @param took time from sending the request to receiving the complete response
     */
    public void record(TrafficRoute route, Duration took) {
        double sample = took.toNanos();
        byRoute.compute(route.name(), (n, e) -> e == null ? new Estimate(sample, sample / 2) : e.with(sample));
    }

    /**
     * Returns the time within which a server is likely to answer a request of a route.
     *
     * @param route the route
     * @return a multiple of the target latency if no answer has arrived from the route
     */
    public Duration likelyWithin(TrafficRoute route) {
        Estimate e = byRoute.get(route.name());
        return e == null
                ? route.targetLatency().multipliedBy(INITIAL_TARGET_FACTOR)
                : Duration.ofNanos((long) (e.mean() + DEVIATION_FACTOR * e.deviation()));
    }

    /**
     * Forgets the estimates of routes that do not exist any more.
     *
     * @param names names of the existing routes
     */
    public void retainRoutes(Collection<String> names) {
        byRoute.keySet().retainAll(names);
    }
}
