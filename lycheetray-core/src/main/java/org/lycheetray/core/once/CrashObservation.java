package org.lycheetray.core.once;

import java.time.Duration;
import java.time.Instant;
import org.lycheetray.core.model.BackendServerName;

/**
 * One VM's observation of a backend server crash while a request was in flight there.
 *
 * @param server the server that crashed
 * @param at wall-clock time of the observation
 * @param suspects number of candidate causes among that VM's requests in flight there, this one included: only those
 *     that had been in flight at an earlier crash if this one had, otherwise all
 */
public record CrashObservation(BackendServerName server, Instant at, int suspects) {
    /** Time within which two observations of the same server count as one crash. */
    static final Duration SAME_CRASH_WINDOW = Duration.ofSeconds(5);

    boolean isSameCrashAs(CrashObservation o) {
        return server.equals(o.server) && Duration.between(at, o.at).abs().compareTo(SAME_CRASH_WINDOW) < 0;
    }
}
