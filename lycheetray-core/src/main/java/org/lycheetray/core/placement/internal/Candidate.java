package org.lycheetray.core.placement.internal;

import org.lycheetray.core.time.MonotonicTime;

/**
 * A server that could take a request.
 *
 * @param state the server
 * @param cost what decides, in nanoseconds
 * @param queueing expected wait for a slot, in nanoseconds
 * @param work expected work, in nanoseconds
 * @param warm true if it is taken to know the object
 */
public record Candidate(ServerState state, double cost, double queueing, double work, boolean warm) {
    private static final double NANOS_PER_MS = 1e6;

    /**
     * Describes what decided.
     *
     * @param now present time
     * @return short text for the log
     */
    public String describe(MonotonicTime now) {
        return "load=%.1f/%d wait=%.0f work=%.0f warm=%s slow=%.1f"
                .formatted(
                        state.load(now),
                        state.server().slots(),
                        queueing / NANOS_PER_MS,
                        work / NANOS_PER_MS,
                        warm,
                        state.slowness(now));
    }
}
