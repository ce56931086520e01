package org.lycheetray.core.membership;

import java.time.Duration;

/**
 * Heartbeat interval and failure detection timeouts.
 *
 * <p>The interval grows with the number of peers. This bounds the heartbeat traffic per VM in large data centres, and
 * gives faster failure detection in small ones.
 *
 * @param minInterval minimum interval between heartbeats to one peer
 * @param intervalPerPeer interval per peer; the product with the number of peers applies if it exceeds the minimum
 * @param suspectIntervals number of intervals without a heartbeat after which a VM is suspect
 * @param deadIntervals number of intervals without a heartbeat after which a VM is dead
 */
public record MembershipSettings(
        Duration minInterval, Duration intervalPerPeer, int suspectIntervals, int deadIntervals) {
    /** Settings used by the daemon. */
    public static final MembershipSettings STANDARD =
            new MembershipSettings(Duration.ofMillis(250), Duration.ofMillis(50), 3, 6);

    /** Validates the interval and the order of the timeouts. */
    public MembershipSettings {
        if (minInterval.isNegative() || minInterval.isZero()) {
            throw new IllegalArgumentException("heartbeat interval must be positive");
        }
        if (suspectIntervals < 2 || deadIntervals <= suspectIntervals) {
            throw new IllegalArgumentException("suspectIntervals must be at least 2 and deadIntervals must be greater");
        }
    }

    /**
     * Returns the interval between heartbeats to one peer.
     *
     * @param peers number of peers that receive heartbeats
     * @return the interval
     */
    public Duration interval(int peers) {
        Duration byPeers = intervalPerPeer.multipliedBy(peers);
        return byPeers.compareTo(minInterval) > 0 ? byPeers : minInterval;
    }
}
