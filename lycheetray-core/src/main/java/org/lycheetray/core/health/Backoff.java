package org.lycheetray.core.health;

import java.time.Duration;
import java.util.random.RandomGenerator;

/**
 * Pauses between attempts: exponential with full jitter, so that many failing requests do not return together.
 *
 * @param base upper bound of the first pause
 * @param longest upper bound of any pause
 */
public record Backoff(Duration base, Duration longest) {
    /** Pauses that fit into the time-outs of interactive requests. */
    public static final Backoff DEFAULT = new Backoff(Duration.ofMillis(20), Duration.ofMillis(500));

    private static final int MAX_DOUBLINGS = 20;

    /**
     * Draws a pause.
     *
     * @param failures attempts that have failed, at least 1
     * @param random source of jitter
     * @return a pause from zero to the bound of that attempt
     */
    public Duration pause(int failures, RandomGenerator random) {
        Duration bound = base.multipliedBy(1L << Math.min(failures - 1, MAX_DOUBLINGS));
        long nanos = Math.min(bound.toNanos(), longest.toNanos());
        return Duration.ofNanos(random.nextLong(nanos + 1));
    }
}
