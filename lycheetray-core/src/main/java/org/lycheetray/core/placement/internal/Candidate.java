package org.lycheetray.core.placement.internal;

import java.time.Duration;
import java.util.Locale;
import org.lycheetray.core.placement.CacheAffinity;
import org.lycheetray.core.placement.PlacementDecision;
import org.lycheetray.core.time.MonotonicTime;

/**
 * A backend server that is eligible for a request.
 *
 * @param state state of the server
 * @param cost cost of sending the request there, in nanoseconds; the lowest cost is selected
 * @param queueNanos expected wait for a slot, in nanoseconds
 * @param workNanos expected processing time, in nanoseconds
 * @param uncachedWorkNanos processing time if the object is not cached, in nanoseconds
 * @param affinity estimated cache affinity of the server with the object
 */
public record Candidate(
        ServerState state,
        double cost,
        double queueNanos,
        double workNanos,
        double uncachedWorkNanos,
        CacheAffinity affinity) {
    /**
     * Multiple of the processing time without cached object after which a response is overdue. The margin covers the
     * normal variation of processing times.
     */
    private static final double OVERDUE_FACTOR = 1.5;

    private static final double NANOS_PER_MS = 1e6;

    /**
     * Returns the decision to send the request to this server.
     *
     * @param now current time
     * @return the decision, with its inputs as the reason
     */
    public PlacementDecision.Send send(MonotonicTime now) {
        String reason = "load=%.1f/%d wait=%.0f work=%.0f object=%s slow=%.1f"
                .formatted(
                        state.load(now),
                        state.server().slots(),
                        queueNanos / NANOS_PER_MS,
                        workNanos / NANOS_PER_MS,
                        affinity.name().toLowerCase(Locale.ROOT),
                        state.slowness(now));
        Duration overdue = Duration.ofNanos((long) (queueNanos + OVERDUE_FACTOR * uncachedWorkNanos));
        return new PlacementDecision.Send(state.server(), affinity, overdue, reason);
    }
}
