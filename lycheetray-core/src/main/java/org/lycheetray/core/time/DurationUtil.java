package org.lycheetray.core.time;

import java.time.Duration;

/** Arithmetic on durations that {@link Duration} lacks. */
public final class DurationUtil {
    private DurationUtil() {}

    /**
     * Returns a multiple of a duration.
     *
     * @param d the duration
     * @param factor the factor
     * @return the product, rounded down to nanoseconds
     */
    public static Duration scaled(Duration d, double factor) {
        return Duration.ofNanos((long) (d.toNanos() * factor));
    }

    /**
     * Returns the shorter of two durations.
     *
     * @param a a duration
     * @param b another duration
     * @return the shorter one, the second if both are equal
     */
    public static Duration shorter(Duration a, Duration b) {
        return a.compareTo(b) < 0 ? a : b;
    }
}
