package org.lycheetray.core.time;

import java.time.Duration;

/**
 * A point on one process's monotonic clock; never compared with another process's.
 *
 * @param nanos nanoseconds since an arbitrary origin
 */
public record MonotonicTime(long nanos) implements Comparable<MonotonicTime> {
    /** The origin, a convenient start for tests. */
    public static final MonotonicTime ZERO = new MonotonicTime(0);

    /**
     * Adds a duration.
     *
     * @param d the duration, may be negative
     * @return the later point
     */
    public MonotonicTime plus(Duration d) {
        return new MonotonicTime(nanos + d.toNanos());
    }

    /**
     * Gives the time that has passed since an earlier point.
     *
     * @param earlier the earlier point
     * @return the duration, negative if {@code earlier} is later
     */
    public Duration since(MonotonicTime earlier) {
        return Duration.ofNanos(nanos - earlier.nanos);
    }

    /**
     * Tells whether this point is before another.
     *
     * @param o the other point
     * @return true if strictly before
     */
    public boolean isBefore(MonotonicTime o) {
        return nanos - o.nanos < 0;
    }

    @Override
    public int compareTo(MonotonicTime o) {
        return Long.compare(nanos - o.nanos, 0);
    }
}
