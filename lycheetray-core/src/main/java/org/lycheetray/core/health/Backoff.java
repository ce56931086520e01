package org.lycheetray.core.health;

import java.time.Duration;
import java.util.random.RandomGenerator;

/**
 * Exponential backoff with full jitter, so that many failing requests are not retried at the same time.
 *
 * @param initialBound upper bound of the first pause, which doubles with each failure
 * @param maxPause upper bound of any pause
 */
public record Backoff(Duration initialBound, Duration maxPause) {
    /** Default backoff, short enough for the timeouts of interactive requests. */
    public static final Backoff DEFAULT = new Backoff(Duration.ofMillis(20), Duration.ofMillis(500));

    private static final int MAX_DOUBLINGS = 20;

    /**
     * Returns a random pause before the next attempt.
     *
     * @param failures number of failed attempts, at least 1
     * @param random source of jitter
     * @return a pause between zero and the upper bound for this number of failures
     */
    public Duration pause(int failures, RandomGenerator random) {
        Duration bound = initialBound.multipliedBy(1L << Math.min(failures - 1, MAX_DOUBLINGS));
        long nanos = Math.min(bound.toNanos(), maxPause.toNanos());
        return Duration.ofNanos(random.nextLong(nanos + 1));
    }
}
