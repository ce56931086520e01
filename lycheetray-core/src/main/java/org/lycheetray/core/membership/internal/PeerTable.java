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

/** The other VMs of this data centre, followed by their heartbeats. */
public final class PeerTable {
    private final TreeMap<VmName, Peer> peers = new TreeMap<>();
    private Set<VmName> listedLive = Set.of();
    private Set<VmName> listedLeaving = Set.of();
    private boolean listKnown;

    private static final class Peer {
        private Incarnation incarnation;
        private MonotonicTime lastHeard;
        private MonotonicTime lastRedial;
        private boolean leaving;
        private long leadTerm = Heartbeat.NO_LEAD;
        private MemberState state = MemberState.UNKNOWN;
    }

    /**
     * Sets which peers are declared; the state of those that stay is kept.
     *
     * @param names all peers
     */
    public void declare(Collection<VmName> names) {
        peers.keySet().retainAll(Set.copyOf(names));
        names.forEach(n -> peers.computeIfAbsent(n, k -> new Peer()));
    }

    /**
     * Names the declared peers.
     *
     * @return the names in order
     */
    public Collection<VmName> names() {
        return peers.keySet();
    }

    /**
     * Takes a peer's heartbeat; one of an earlier process of the same VM is ignored.
     *
     * @param h the heartbeat
     * @param now the present
     * @return true if the heartbeat counts
     */
    public boolean heard(Heartbeat h, MonotonicTime now) {
        Peer p = peers.get(h.from().vm());
        if (p == null) {
            return false;
        }
        if (p.incarnation != null && h.from().number() < p.incarnation.number()) {
            return false;
        }
        p.incarnation = h.from();
        p.lastHeard = now;
        p.leaving = h.leaving();
        p.leadTerm = h.leadTerm();
        return true;
    }

    /**
     * Takes the platform's list of VMs.
     *
     * @param live VMs that run, leaving ones included
     * @param leaving VMs that will stop
     */
    public void listed(Set<VmName> live, Set<VmName> leaving) {
        listedLive = Set.copyOf(live);
        listedLeaving = Set.copyOf(leaving);
        listKnown = true;
    }

    /**
     * Brings every peer's state up to date.
     *
     * @param now the present
     * @param suspectAfter silence after which a peer is suspect
     * @param deadAfter silence after which a peer is dead
     * @return changes of state and connections to dial again
     */
    public List<MembershipEffect> update(MonotonicTime now, Duration suspectAfter, Duration deadAfter) {
        List<MembershipEffect> effects = new ArrayList<>();
        peers.forEach((name, p) -> {
            MemberState next = stateOf(name, p, now, suspectAfter, deadAfter);
            if (next == MemberState.SUSPECT || next == MemberState.DEAD) {
                redial(name, p, now, suspectAfter, effects);
            }
            if (next != p.state) {
                p.state = next;
                effects.add(new MembershipEffect.StateChanged(new Member(p.incarnation, next)));
            }
        });
        return effects;
    }

    private MemberState stateOf(VmName name, Peer p, MonotonicTime now, Duration suspectAfter, Duration deadAfter) {
        if (p.lastHeard == null) {
            return MemberState.UNKNOWN;
        }
        Duration silent = now.since(p.lastHeard);
        if (silent.compareTo(suspectAfter) < 0) {
            return p.leaving || listedLeaving.contains(name) ? MemberState.LEAVING : MemberState.LIVE;
        }
        boolean gone = listKnown && !listedLive.contains(name);
        return gone || silent.compareTo(deadAfter) >= 0 ? MemberState.DEAD : MemberState.SUSPECT;
    }

    private static void redial(
            VmName name, Peer p, MonotonicTime now, Duration interval, List<MembershipEffect> effects) {
        if (p.lastRedial == null || now.since(p.lastRedial).compareTo(interval) >= 0) {
            p.lastRedial = now;
            effects.add(new MembershipEffect.Redial(name));
        }
    }

    /**
     * Tells whether the platform's list lacks a VM that is silent as well.
     *
     * @param vm the VM
     * @return true if both agree that it is gone
     */
    public boolean isGone(VmName vm) {
        Peer p = peers.get(vm);
        boolean silent = p == null || p.state == MemberState.DEAD || p.state == MemberState.UNKNOWN;
        return silent && listKnown && !listedLive.contains(vm);
    }

    /**
     * Gives a peer's state.
     *
     * @param vm the peer
     * @return the state, empty if it is no peer
     */
    public Optional<MemberState> state(VmName vm) {
        return Optional.ofNullable(peers.get(vm)).map(p -> p.state);
    }

    /**
     * Gives the peers that were ever heard of.
     *
     * @return them in order of their names
     */
    public List<Member> members() {
        return peers.values().stream()
                .filter(p -> p.incarnation != null)
                .map(p -> new Member(p.incarnation, p.state))
                .toList();
    }

    /**
     * Gives the term that a peer claims as lead.
     *
     * @param vm the peer
     * @return the term, {@link Heartbeat#NO_LEAD} if it claims none
     */
    public long leadTerm(VmName vm) {
        Peer p = peers.get(vm);
        return p == null ? Heartbeat.NO_LEAD : p.leadTerm;
    }
}
