package org.lycheetray.core.membership.internal;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import org.lycheetray.core.membership.Heartbeat;
import org.lycheetray.core.membership.Member;
import org.lycheetray.core.membership.MemberState;
import org.lycheetray.core.membership.MembershipEffect;
import org.lycheetray.core.model.Incarnation;
import org.lycheetray.core.model.VmName;
import org.lycheetray.core.time.MonotonicTime;

/** Heartbeat and state records of the other VMs of the local data centre. */
public final class PeerTable {
    private final TreeMap<VmName, Peer> peers = new TreeMap<>();
    private Set<VmName> listedLive = Set.of();
    private Set<VmName> listedLeaving = Set.of();
    private boolean vmListReceived;

    private static final class Peer {
        private Incarnation incarnation;
        private MonotonicTime lastHeartbeat;
        private MonotonicTime lastReconnect;
        private boolean leaving;
        private long leadTerm = Heartbeat.NO_LEAD;
        private MemberState state = MemberState.UNKNOWN;
    }

    /**
     * Sets the declared peers and keeps the state of the remaining ones.
     *
     * @param names names of all peers
     */
    public void updateDeclaredPeers(Collection<VmName> names) {
        peers.keySet().retainAll(Set.copyOf(names));
        names.forEach(n -> peers.computeIfAbsent(n, k -> new Peer()));
    }

    /**
     * Returns the names of the declared peers.
     *
     * @return the sorted names
     */
    public Collection<VmName> names() {
        return peers.keySet();
    }

    /**
     * Applies a peer's heartbeat. A heartbeat of an earlier incarnation of the same VM is ignored.
     *
     * @param h the heartbeat
     * @param now current time
     * @return true if the heartbeat was applied
     */
    public boolean applyHeartbeat(Heartbeat h, MonotonicTime now) {
        Peer p = peers.get(h.from().vm());
        if (p == null) {
            return false;
        }
        if (p.incarnation != null && h.from().number() < p.incarnation.number()) {
            return false;
        }
        p.incarnation = h.from();
        p.lastHeartbeat = now;
        p.leaving = h.leaving();
        p.leadTerm = h.leadTerm();
        return true;
    }

    /**
     * Applies the platform's VM list.
     *
     * @param live running VMs, including leaving ones
     * @param leaving VMs that are about to shut down
     */
    public void updateVmList(Set<VmName> live, Set<VmName> leaving) {
        listedLive = Set.copyOf(live);
        listedLeaving = Set.copyOf(leaving);
        vmListReceived = true;
    }

    /**
     * Updates the state of all peers.
     *
     * @param now current time
     * @param suspectAfter time without a heartbeat after which a peer is suspect
     * @param deadAfter time without a heartbeat after which a peer is dead
     * @return state changes, and connections to replace
     */
    public List<MembershipEffect> updateStates(MonotonicTime now, Duration suspectAfter, Duration deadAfter) {
        List<MembershipEffect> effects = new ArrayList<>();
        peers.forEach((name, p) -> {
            MemberState next = stateOf(name, p, now, suspectAfter, deadAfter);
            if (next == MemberState.SUSPECT || next == MemberState.DEAD) {
                reconnect(name, p, now, suspectAfter, effects);
            }
            if (next != p.state) {
                p.state = next;
                effects.add(new MembershipEffect.StateChanged(new Member(p.incarnation, next)));
            }
        });
        return effects;
    }

    private MemberState stateOf(VmName name, Peer p, MonotonicTime now, Duration suspectAfter, Duration deadAfter) {
        if (p.lastHeartbeat == null) {
            return MemberState.UNKNOWN;
        }
        Duration silence = now.since(p.lastHeartbeat);
        if (silence.compareTo(suspectAfter) < 0) {
            return p.leaving || listedLeaving.contains(name) ? MemberState.LEAVING : MemberState.LIVE;
        }
        boolean gone = vmListReceived && !listedLive.contains(name);
        return gone || silence.compareTo(deadAfter) >= 0 ? MemberState.DEAD : MemberState.SUSPECT;
    }

    private static void reconnect(
            VmName name, Peer p, MonotonicTime now, Duration interval, List<MembershipEffect> effects) {
        if (p.lastReconnect == null || now.since(p.lastReconnect).compareTo(interval) >= 0) {
            p.lastReconnect = now;
            effects.add(new MembershipEffect.Reconnect(name));
        }
    }

    /**
     * Returns whether a VM is gone according to both heartbeats and the platform's list.
     *
     * @param vm the VM
     * @return true if the VM is dead or never sent a heartbeat, and is not listed
     */
    public boolean isConfirmedGone(VmName vm) {
        Peer p = peers.get(vm);
        boolean silent = p == null || p.state == MemberState.DEAD || p.state == MemberState.UNKNOWN;
        return silent && vmListReceived && !listedLive.contains(vm);
    }

    /**
     * Returns the state of a peer.
     *
     * @param vm the peer
     * @return the state, empty if the VM is not a declared peer
     */
    public Optional<MemberState> state(VmName vm) {
        return Optional.ofNullable(peers.get(vm)).map(p -> p.state);
    }

    /**
     * Returns the peers that have sent a heartbeat.
     *
     * @return the peers, sorted by name
     */
    public List<Member> members() {
        return peers.values().stream()
                .filter(p -> p.incarnation != null)
                .map(p -> new Member(p.incarnation, p.state))
                .toList();
    }

    /**
     * Returns the lead term that a peer claims.
     *
     * @param vm the peer
     * @return the term, {@link Heartbeat#NO_LEAD} if it claims none
     */
    public long leadTerm(VmName vm) {
        Peer p = peers.get(vm);
        return p == null ? Heartbeat.NO_LEAD : p.leadTerm;
    }
}
