package org.lycheetray.core.placement.internal;

import java.time.Duration;
import org.lycheetray.core.traffic.TrafficRoute;

/** How long the requests of one route take, learnt from answers, by whether the server knew the object. */
public final class WorkTimes {
    private static final double SAMPLE = 0.1;

    /** First guesses, as parts of the route's target latency; a few answers replace them. */
    private static final double COLD_GUESS = 2;

    private static final double WARM_GUESS = 0.5;

    private double coldNanos;
    private double warmNanos;

    /**
     * Creates the times of a route without any answers.
     *
     * @param route the route
     */
    public WorkTimes(TrafficRoute route) {
        coldNanos = COLD_GUESS * route.targetLatency().toNanos();
        warmNanos = (route.sticky() ? WARM_GUESS : COLD_GUESS)
                * route.targetLatency().toNanos();
    }

    /**
     * Expected time of a request.
     *
     * @param warm true if the server knows the object
     * @return nanoseconds at an unloaded server of usual speed
     */
    public double nanos(boolean warm) {
        return warm ? Math.min(warmNanos, coldNanos) : coldNanos;
    }

    /**
     * Takes the time of an answer.
     *
     * @param warm true if the server was taken to know the object
     * @param took time from sending to the whole answer
     */
    public void sample(boolean warm, Duration took) {
        if (warm) {
            warmNanos += SAMPLE * (took.toNanos() - warmNanos);
        } else {
            coldNanos += SAMPLE * (took.toNanos() - coldNanos);
        }
    }
}
