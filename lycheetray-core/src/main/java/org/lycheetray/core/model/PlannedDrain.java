package org.lycheetray.core.model;

import java.time.Instant;

/**
 * A planned period in which a part of the fleet receives no requests.
 *
 * @param target the part of the fleet to drain
 * @param start start of the period, from which no new requests should arrive
 * @param end end of the period, from which requests may arrive again
 */
public record PlannedDrain(DrainTarget target, Instant start, Instant end) {
    /**
     * Returns whether the drain is in effect.
     *
     * @param now wall-clock time
     * @return true from {@code start} until just before {@code end}
     */
    public boolean isActive(Instant now) {
        return !now.isBefore(start) && now.isBefore(end);
    }
}
