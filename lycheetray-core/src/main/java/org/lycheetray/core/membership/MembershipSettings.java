package org.lycheetray.core.membership;

import java.time.Duration;

/**
 * Periods of the heartbeats.
 *
 * <p>The interval grows with the number of peers, so that heartbeats cost the same traffic in a data centre of two VMs
 * as in one of twenty, and a small fleet notices a death sooner.
 *
 * @param shortestInterval interval between heartbeats to one peer in a small data centre
 * @param intervalPerPeer interval added for each peer
 * @param suspectIntervals silent intervals after which a VM is suspect
 * @param deadIntervals silent intervals after which a VM is dead
 */
public record MembershipSettings(
        Duration shortestInterval, Duration intervalPerPeer, int suspectIntervals, int deadIntervals) {
    /** The settings that the daemon uses. */
    public static final MembershipSettings STANDARD =
            new MembershipSettings(Duration.ofMillis(250), Duration.ofMillis(50), 3, 6);

    /** Checks the order of the periods. */
    public MembershipSettings {
        if (shortestInterval.isNegative() || shortestInterval.isZero()) {
            throw new IllegalArgumentException("the heartbeat interval must be positive");
        }
        if (suspectIntervals < 2 || deadIntervals <= suspectIntervals) {
            throw new IllegalArgumentException("a VM must be suspect for some time before it is dead");
        }
    }

    /**
     * Gives the interval between two heartbeats to one peer.
     *
     * @param peers number of peers that get heartbeats
     * @return the interval
     */
    public Duration interval(int peers) {
        Duration byPeers = intervalPerPeer.multipliedBy(peers);
        return byPeers.compareTo(shortestInterval) > 0 ? byPeers : shortestInterval;
    }
}
