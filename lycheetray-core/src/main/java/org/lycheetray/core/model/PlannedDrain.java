package org.lycheetray.core.model;

import java.time.Instant;

/**
 * A planned period in which a part of the fleet takes no work.
 *
 * @param target what is drained
 * @param start first instant at which nothing new should arrive
 * @param end instant from which traffic may return
 */
public record PlannedDrain(DrainTarget target, Instant start, Instant end) {
    /**
     * Tells whether the drain is in force.
     *
     * @param now wall-clock time
     * @return true from {@code start} until just before {@code end}
     */
    public boolean isActive(Instant now) {
        return !now.isBefore(start) && now.isBefore(end);
    }
}
