package org.lycheetray.core.time;

import java.time.Duration;

/**
 * A point in time on the monotonic clock of one process; not comparable between processes.
 *
 * @param nanos nanoseconds since an arbitrary origin
 */
public record MonotonicTime(long nanos) implements Comparable<MonotonicTime> {
    /** The origin, used as start time in tests. */
    public static final MonotonicTime ZERO = new MonotonicTime(0);

    /**
     * Returns this point in time plus a duration.
     *
     * @param d the duration, may be negative
     * @return the sum
     */
    public MonotonicTime plus(Duration d) {
        return new MonotonicTime(nanos + d.toNanos());
    }

    /**
     * Returns the time elapsed since an earlier point.
     *
     * @param earlier the earlier point
     * @return the duration, negative if {@code earlier} is later
     */
    public Duration since(MonotonicTime earlier) {
        return Duration.ofNanos(nanos - earlier.nanos);
    }

    /**
     * Returns whether this point is before another.
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
