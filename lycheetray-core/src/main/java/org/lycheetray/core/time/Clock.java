package org.lycheetray.core.time;

import java.time.Instant;
import java.time.InstantSource;

/**
 * Source of wall-clock and monotonic time, passed in so that tests can control the time.
 *
 * <p>Leases and rates use the monotonic clock only; wall-clock time is used for planned drains, reports and logs.
 */
public interface Clock extends InstantSource {
    /**
     * Returns the present time of the monotonic clock.
     *
     * @return present time
     */
    MonotonicTime monotonic();

    /**
     * Returns the system clock.
     *
     * @return a clock backed by the system's wall-clock and monotonic time
     */
    static Clock system() {
        return new Clock() {
            @Override
            public Instant instant() {
                return InstantSource.system().instant();
            }

            @Override
            public MonotonicTime monotonic() {
                return new MonotonicTime(System.nanoTime());
            }
        };
    }
}
