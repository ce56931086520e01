package org.lycheetray.core.time;

import java.time.Instant;
import java.time.InstantSource;

/**
 * Source of wall-clock and monotonic time, passed in so that tests decide what time it is.
 *
 * <p>Leases and rates use the monotonic clock only; wall-clock time serves planned drains, reports and logs.
 */
public interface Clock extends InstantSource {
    /**
     * Reads the monotonic clock.
     *
     * @return the present point
     */
    MonotonicTime monotonic();

    /**
     * Gives the machine's clock.
     *
     * @return a clock that reads the machine
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
