package org.lycheetray.core.suspect;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import org.lycheetray.core.model.BackendServerName;
import org.lycheetray.core.once.RequestDigest;

/**
 * What one VM tells another about a request that was in flight when backend servers crashed. Times are ages, since the
 * clocks of VMs are not comparable.
 *
 * @param hash hash of the request, see {@link RequestFingerprint#hash}
 * @param digest digest of the request
 * @param crashes crashes since the last answer, the latest {@link #MAX_CRASHES} at most
 * @param answered time since a backend server answered the request; empty if none is known to have
 * @param trial time since a quarantined request was last sent as a trial; empty if it was not
 */
public record SuspectRequest(
        int hash, RequestDigest digest, List<Crash> crashes, Optional<Duration> answered, Optional<Duration> trial) {
    /** Maximum number of crashes that are remembered and reported for a request. */
    public static final int MAX_CRASHES = 8;

    /** Keeps the latest crashes. */
    public SuspectRequest {
        crashes = List.copyOf(crashes.subList(Math.max(0, crashes.size() - MAX_CRASHES), crashes.size()));
    }

    /**
     * A crash of one incarnation of a backend server.
     *
     * @param server name of the server
     * @param incarnation the incarnation that crashed
     * @param age time since the crash
     */
    public record Crash(BackendServerName server, long incarnation, Duration age) {}
}
