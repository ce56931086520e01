package org.lycheetray.core.placement.internal;

import java.time.Duration;
import java.util.Locale;
import org.lycheetray.core.placement.Familiarity;
import org.lycheetray.core.placement.PlacementDecision;
import org.lycheetray.core.time.MonotonicTime;

/**
 * A server that could take a request.
 *
 * @param state the server
 * @param cost what decides, in nanoseconds
 * @param queueing expected wait for a slot, in nanoseconds
 * @param work expected work, in nanoseconds
 * @param longest work if the object turns out to be unknown, in nanoseconds
 * @param familiarity how well it is taken to know the object
 */
public record Candidate(
        ServerState state, double cost, double queueing, double work, double longest, Familiarity familiarity) {
    /** Times the longest usual work after which an answer is overdue; work scatters by a fraction of itself. */
    private static final double OVERDUE = 1.5;

    private static final double NANOS_PER_MS = 1e6;

    /**
     * The decision to send the request to this server.
     *
     * @param now present time
     * @return the decision, with the inputs that decided
     */
    public PlacementDecision.Send send(MonotonicTime now) {
        String reason = "load=%.1f/%d wait=%.0f work=%.0f object=%s slow=%.1f"
                .formatted(
                        state.load(now),
                        state.server().slots(),
                        queueing / NANOS_PER_MS,
                        work / NANOS_PER_MS,
                        familiarity.name().toLowerCase(Locale.ROOT),
                        state.slowness(now));
        Duration overdue = Duration.ofNanos((long) (queueing + OVERDUE * longest));
        return new PlacementDecision.Send(state.server(), familiarity, overdue, reason);
    }
}
