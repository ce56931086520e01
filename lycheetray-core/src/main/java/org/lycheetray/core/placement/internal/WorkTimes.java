package org.lycheetray.core.placement.internal;

import java.time.Duration;
import java.util.EnumMap;
import java.util.Map;
import org.lycheetray.core.placement.Familiarity;
import org.lycheetray.core.traffic.TrafficRoute;

/** How long the requests of one route take, learnt from answers, by how well the server was taken to know the object. */
public final class WorkTimes {
    private static final double SAMPLE = 0.1;

    /** First guesses, as parts of the route's target latency; a few answers replace them. */
    private static final double UNKNOWN_GUESS = 2;

    private static final double LIKELY_GUESS = 1;

    private static final double KNOWN_GUESS = 0.5;

    private final Map<Familiarity, Double> nanos = new EnumMap<>(Familiarity.class);

    /**
     * Creates the times of a route without any answers.
     *
     * @param route the route
     */
    public WorkTimes(TrafficRoute route) {
        double target = route.targetLatency().toNanos();
        nanos.put(Familiarity.UNKNOWN, UNKNOWN_GUESS * target);
        nanos.put(Familiarity.LIKELY, (route.sticky() ? LIKELY_GUESS : UNKNOWN_GUESS) * target);
        nanos.put(Familiarity.KNOWN, (route.sticky() ? KNOWN_GUESS : UNKNOWN_GUESS) * target);
    }

    /**
     * Expected time of a request.
     *
     * @param f how well the server is taken to know the object
     * @return nanoseconds at an unloaded server of usual speed; never more for a better known object
     */
    public double nanos(Familiarity f) {
        double unknown = nanos.get(Familiarity.UNKNOWN);
        double likely = Math.min(nanos.get(Familiarity.LIKELY), unknown);
        return switch (f) {
            case UNKNOWN -> unknown;
            case LIKELY -> likely;
            case KNOWN -> Math.min(nanos.get(Familiarity.KNOWN), likely);
        };
    }

    /**
     * Takes the time of an answer.
     *
     * @param f how well the server was taken to know the object
     * @param took time from sending to the whole answer
     */
    public void sample(Familiarity f, Duration took) {
        nanos.merge(f, (double) took.toNanos(), (old, t) -> old + SAMPLE * (t - old));
    }
}
