package org.lycheetray.core.membership;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.lycheetray.core.membership.internal.PeerTable;
import org.lycheetray.core.membership.internal.RemoteViews;
import org.lycheetray.core.model.DataCentreName;
import org.lycheetray.core.model.Incarnation;
import org.lycheetray.core.model.RegionName;
import org.lycheetray.core.model.VmName;
import org.lycheetray.core.time.MonotonicTime;

/**
 * One VM's knowledge of which VMs of the fleet are alive.
 *
 * <p>Fed with heartbeats, views, the platform's list and the time; answers with {@linkplain MembershipEffect effects}.
 * Heartbeats outrank the platform's list, which lags: a VM that is heard is not dead, and a VM that the list calls
 * leaving gets no new work. A silent VM is suspect first, while its connection is dialled again, because a connection
 * may have gone silent while new ones work.
 *
 * <p>The lead that this class knows is a candidate only. Whether this VM may act as lead is for {@link LeadLease}.
 */
public final class Membership {
    private final Incarnation self;
    private final MembershipSettings settings;
    private final PeerTable peers = new PeerTable();
    private final RemoteViews views = new RemoteViews();
    private final Map<DataCentreName, MonotonicTime> lastHeard = new HashMap<>();
    private final Map<DataCentreName, Integer> nextContact = new HashMap<>();
    private final Map<DataCentreName, VmName> heardLead = new HashMap<>();
    private final Set<DataCentreName> unreachable = new HashSet<>();
    private Roster roster;
    private DataCentreName home;
    private final MonotonicTime started;
    private MonotonicTime nextHeartbeat;
    private MonotonicTime nextVersions;
    private boolean leaving;
    private boolean listened;
    private long leadTerm = Heartbeat.NO_LEAD;

    private Membership(Incarnation self, Roster roster, MembershipSettings settings, MonotonicTime now) {
        this.self = self;
        this.settings = settings;
        this.started = now;
        this.nextHeartbeat = now;
        this.nextVersions = now;
        declare(roster);
    }

    /**
     * Creates the membership of a VM that has heard nothing yet.
     *
     * @param self the VM's own process
     * @param roster the declared VMs, this one among them
     * @param settings periods
     * @param now the present
     * @return the membership
     */
    public static Membership create(Incarnation self, Roster roster, MembershipSettings settings, MonotonicTime now) {
        return new Membership(self, roster, settings, now);
    }

    /**
     * Takes a new roster, for a new configuration.
     *
     * @param next the declared VMs; if this VM is no longer among them it goes on as leaving
     */
    public void declare(Roster next) {
        roster = next;
        if (next.contains(self.vm())) {
            home = next.dataCentre(self.vm());
        } else {
            leaving = true;
        }
        peers.declare(next.vms(home).stream().filter(v -> !v.equals(self.vm())).toList());
        lastHeard.keySet().retainAll(next.dataCentres());
        unreachable.retainAll(next.dataCentres());
    }

    /**
     * Lets time pass; due heartbeats are sent and silent VMs noticed.
     *
     * @param now the present
     * @return effects to carry out
     */
    public List<MembershipEffect> tick(MonotonicTime now) {
        List<MembershipEffect> effects = new ArrayList<>(peers.update(now, suspectAfter(), deadAfter()));
        if (!now.isBefore(nextHeartbeat)) {
            nextHeartbeat = now.plus(interval());
            listened = listened || now.since(started).compareTo(suspectAfter()) >= 0;
            updateReach(now, effects);
            publishOwnView(effects);
            heartbeat(effects);
        }
        return effects;
    }

    /**
     * Takes a heartbeat.
     *
     * @param h the heartbeat
     * @param now the present
     * @return effects to carry out
     */
    public List<MembershipEffect> heard(Heartbeat h, MonotonicTime now) {
        List<MembershipEffect> effects = new ArrayList<>();
        if (!roster.contains(h.from().vm())) {
            return effects;
        }
        DataCentreName from = roster.dataCentre(h.from().vm());
        if (from.equals(home)) {
            heardPeer(h, now, effects);
        } else {
            heardRemote(from, h, now, effects);
        }
        return effects;
    }

    /**
     * Takes views that another VM sent.
     *
     * @param received the views
     * @return effects to carry out
     */
    public List<MembershipEffect> viewsReceived(Collection<DataCentreView> received) {
        List<DataCentreView> fresh = received.stream().filter(views::accept).toList();
        List<MembershipEffect> effects = new ArrayList<>();
        if (!fresh.isEmpty() && isActingLead()) {
            livePeers().forEach(p -> effects.add(new MembershipEffect.SendViews(p, fresh)));
        }
        return effects;
    }

    /**
     * Answers a VM that told which versions it knows.
     *
     * @param from the VM
     * @param versions its versions
     * @return effects to carry out
     */
    public List<MembershipEffect> versionsReceived(VmName from, Collection<ViewVersion> versions) {
        List<DataCentreView> lacking = views.notOlderThan(versions);
        return lacking.isEmpty() ? List.of() : List.of(new MembershipEffect.SendViews(from, lacking));
    }

    /**
     * Takes the platform's lagging list.
     *
     * @param live VMs that run, leaving ones included
     * @param leavingVms VMs that are about to stop
     */
    public void platformListed(Set<VmName> live, Set<VmName> leavingVms) {
        peers.listed(live, leavingVms);
    }

    /** Announces with the next heartbeats that this VM is about to stop. */
    public void leave() {
        leaving = true;
        nextHeartbeat = started;
    }

    /**
     * Sets whether this VM acts as lead of its data centre, as {@link LeadLease} allows.
     *
     * @param term term of the lease, {@link Heartbeat#NO_LEAD} if it does not act as lead
     */
    public void actAsLead(long term) {
        leadTerm = term;
    }

    /**
     * Gives the VM of this data centre that should lead it.
     *
     * <p>A live VM that claims to lead stays candidate, the one with the highest term first; otherwise it is the process
     * that has lived longest, so that restarts move the lead as seldom as possible. A VM that has just started names
     * none until it has listened for the suspicion period.
     *
     * @return the candidate, empty if there is none
     */
    public Optional<Incarnation> leadCandidate() {
        if (!listened) {
            return Optional.empty();
        }
        Comparator<Member> byTerm = Comparator.comparingLong(this::claimedTerm).reversed();
        return members(home).stream()
                .filter(m -> m.state().takesNewWork())
                .min(byTerm.thenComparingLong(m -> m.incarnation().number())
                        .thenComparing(m -> m.incarnation().vm()))
                .map(Member::incarnation);
    }

    private long claimedTerm(Member m) {
        return m.incarnation().equals(self)
                ? leadTerm
                : peers.leadTerm(m.incarnation().vm());
    }

    /**
     * Gives the VMs of a data centre that were ever heard of.
     *
     * @param dataCentre the data centre
     * @return its members, this VM included; all suspect if the data centre is unreachable
     */
    public List<Member> members(DataCentreName dataCentre) {
        if (!dataCentre.equals(home)) {
            return remoteMembers(dataCentre);
        }
        List<Member> all = new ArrayList<>(peers.members());
        all.add(new Member(self, leaving ? MemberState.LEAVING : MemberState.LIVE));
        all.sort(Comparator.comparing(m -> m.incarnation().vm()));
        return all;
    }

    private List<Member> remoteMembers(DataCentreName dataCentre) {
        List<Member> known = views.view(dataCentre).map(DataCentreView::members).orElse(List.of());
        if (!unreachable.contains(dataCentre)) {
            return known;
        }
        return known.stream()
                .map(m -> m.state() == MemberState.LIVE ? new Member(m.incarnation(), MemberState.SUSPECT) : m)
                .toList();
    }

    /**
     * Gives the state of a VM anywhere in the fleet.
     *
     * @param vm the VM
     * @return its state, {@link MemberState#UNKNOWN} if it is undeclared or was never heard of
     */
    public MemberState state(VmName vm) {
        if (!roster.contains(vm)) {
            return MemberState.UNKNOWN;
        }
        return members(roster.dataCentre(vm)).stream()
                .filter(m -> m.incarnation().vm().equals(vm))
                .findFirst()
                .map(Member::state)
                .orElse(MemberState.UNKNOWN);
    }

    /**
     * Tells whether heartbeats and the platform's list agree that a VM of this data centre is gone.
     *
     * @param vm the VM
     * @return true if it is silent and not listed
     */
    public boolean isGone(VmName vm) {
        return peers.isGone(vm);
    }

    /**
     * Tells whether another data centre can be reached, as far as this VM or its lead knows.
     *
     * @param dataCentre the data centre
     * @return true if it is this VM's own or its lead is heard
     */
    public boolean isReachable(DataCentreName dataCentre) {
        return !unreachable.contains(dataCentre);
    }

    /**
     * Tells whether this VM has listened long enough to know which VMs of its data centre are alive.
     *
     * @return false for the suspicion period after the start
     */
    public boolean hasListened() {
        return listened;
    }

    /**
     * Gives this VM's own process.
     *
     * @return the incarnation
     */
    public Incarnation self() {
        return self;
    }

    /**
     * Gives this VM's data centre.
     *
     * @return its name
     */
    public DataCentreName home() {
        return home;
    }

    private Duration interval() {
        return settings.interval(peers.names().size());
    }

    private Duration suspectAfter() {
        return interval().multipliedBy(settings.suspectIntervals());
    }

    private Duration deadAfter() {
        return interval().multipliedBy(settings.deadIntervals());
    }

    private boolean isActingLead() {
        return leadTerm != Heartbeat.NO_LEAD;
    }

    private List<VmName> livePeers() {
        return peers.members().stream()
                .filter(m -> m.state() == MemberState.LIVE || m.state() == MemberState.LEAVING)
                .map(m -> m.incarnation().vm())
                .toList();
    }

    private void heardPeer(Heartbeat h, MonotonicTime now, List<MembershipEffect> effects) {
        if (!peers.heard(h, now)) {
            return;
        }
        effects.addAll(peers.update(now, suspectAfter(), deadAfter()));
        if (h.isLead()) {
            adoptReach(h.unreachable(), effects);
            askForViews(h, now, effects);
        }
    }

    private void adoptReach(Set<DataCentreName> told, List<MembershipEffect> effects) {
        if (isActingLead()) {
            return;
        }
        for (DataCentreName d : roster.dataCentres()) {
            if (!d.equals(home)) {
                setReach(d, !told.contains(d), effects);
            }
        }
    }

    private void heardRemote(DataCentreName from, Heartbeat h, MonotonicTime now, List<MembershipEffect> effects) {
        lastHeard.put(from, now);
        if (h.isLead()) {
            heardLead.put(from, h.from().vm());
        }
        setReach(from, true, effects);
        if (h.isLead() && isActingLead()) {
            adoptGatewayReach(from, h, effects);
        }
        askForViews(h, now, effects);
    }

    /** The lead that speaks for a region, ours or another, tells which data centres it cannot reach. */
    private void adoptGatewayReach(DataCentreName from, Heartbeat h, List<MembershipEffect> effects) {
        for (DataCentreName d : roster.dataCentres()) {
            boolean spokenFor = isOurGateway(from) ? !isContact(d) : sameRegion(d, from) && !isContact(d);
            if (spokenFor && !d.equals(home) && !d.equals(from)) {
                setReach(d, !h.unreachable().contains(d), effects);
            }
        }
    }

    private void askForViews(Heartbeat h, MonotonicTime now, List<MembershipEffect> effects) {
        if (h.viewsDigest() != views.digest() && !now.isBefore(nextVersions)) {
            nextVersions = now.plus(interval());
            effects.add(new MembershipEffect.SendVersions(h.from().vm(), views.versions(roster.dataCentres())));
        }
    }

    private void publishOwnView(List<MembershipEffect> effects) {
        if (!isActingLead()) {
            return;
        }
        List<Member> present = members(home);
        Optional<DataCentreView> known = views.view(home);
        if (known.isPresent()
                && known.get().author().equals(self)
                && known.get().members().equals(present)) {
            return;
        }
        long version = known.map(DataCentreView::version).orElse(0L) + 1;
        DataCentreView view = new DataCentreView(home, version, self, present);
        views.accept(view);
        List<DataCentreView> one = List.of(view);
        livePeers().forEach(p -> effects.add(new MembershipEffect.SendViews(p, one)));
        contacts().forEach(d -> effects.add(new MembershipEffect.SendViews(contact(d, false), one)));
    }

    private void heartbeat(List<MembershipEffect> effects) {
        Heartbeat h = new Heartbeat(self, leaving, leadTerm, views.digest(), unreachable);
        peers.names().forEach(p -> effects.add(new MembershipEffect.SendHeartbeat(p, h)));
        if (isActingLead()) {
            contacts()
                    .forEach(d ->
                            effects.add(new MembershipEffect.SendHeartbeat(contact(d, unreachable.contains(d)), h)));
        }
    }

    private void updateReach(MonotonicTime now, List<MembershipEffect> effects) {
        if (!isActingLead()) {
            return;
        }
        for (DataCentreName d : contacts()) {
            MonotonicTime heard = lastHeard.getOrDefault(d, started);
            setReach(d, now.since(heard).compareTo(deadAfter()) < 0, effects);
        }
    }

    private void setReach(DataCentreName d, boolean reachable, List<MembershipEffect> effects) {
        boolean changed = reachable ? unreachable.remove(d) : unreachable.add(d);
        if (changed) {
            effects.add(new MembershipEffect.ReachChanged(d, reachable));
        }
    }

    /** The data centres whose leads get this lead's heartbeats. */
    private List<DataCentreName> contacts() {
        return roster.dataCentres().stream().filter(this::isContact).toList();
    }

    private boolean isContact(DataCentreName d) {
        if (d.equals(home) || roster.vms(d).isEmpty()) {
            return false;
        }
        return sameRegion(d, home) || (isOurGateway(home) && d.equals(gateway(roster.region(d))));
    }

    private boolean isOurGateway(DataCentreName d) {
        return d.equals(gateway(roster.region(home)));
    }

    /** The data centre whose lead speaks for a region: its first one that is reachable. */
    private DataCentreName gateway(RegionName region) {
        List<DataCentreName> of = roster.dataCentres().stream()
                .filter(d -> roster.region(d).equals(region))
                .filter(d -> !roster.vms(d).isEmpty())
                .toList();
        return of.stream()
                .filter(d -> !unreachable.contains(d))
                .findFirst()
                .orElseGet(() -> of.isEmpty() ? home : of.getFirst());
    }

    private boolean sameRegion(DataCentreName a, DataCentreName b) {
        return roster.region(a).equals(roster.region(b));
    }

    /** The VM that speaks for another data centre; a silent one is tried through all its VMs in turn. */
    private VmName contact(DataCentreName d, boolean silent) {
        List<VmName> declared = roster.vms(d);
        VmName lead = heardLead.get(d);
        if (!silent && lead != null && declared.contains(lead)) {
            return lead;
        }
        int next = nextContact.merge(d, 1, Integer::sum);
        return declared.get(Math.floorMod(next, declared.size()));
    }
}
