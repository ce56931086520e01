package org.lycheetray.core.once;

import java.time.Duration;
import java.time.Instant;
import org.lycheetray.core.model.BackendServerName;

/**
 * A backend server's crash with a suspect in flight, as one VM saw it.
 *
 * @param server the server that crashed
 * @param at wall-clock time
 * @param suspects requests in flight there from that VM that had been in flight at an earlier crash, this one included
 */
public record CrashSight(BackendServerName server, Instant at, int suspects) {
    /** Time within which two VMs' sightings of one server are the same crash. */
    static final Duration SAME_CRASH = Duration.ofSeconds(5);

    boolean isSameCrash(CrashSight o) {
        return server.equals(o.server) && Duration.between(at, o.at).abs().compareTo(SAME_CRASH) < 0;
    }
}
