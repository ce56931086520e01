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
 * Failure detector of one VM: tracks which VMs of the fleet are alive.
 *
 * <p>The inputs are heartbeats, views, the platform's VM list and the time; the outputs are
 * {@linkplain MembershipEffect effects}. Heartbeats take precedence over the platform's list, which lags: a VM that
 * sends heartbeats is not dead even if it is not listed. A VM that the list marks as leaving gets no new requests. A
 * silent VM is first suspect while its connection is replaced, because a connection may be broken while new ones
 * succeed.
 *
 * <p>This class determines only the candidate for the lead. {@link LeadLease} decides whether the VM may act as lead.
 */
public final class Membership {
    private final Incarnation localIncarnation;
    private final MembershipSettings settings;
    private final PeerTable peers = new PeerTable();
    private final RemoteViews views = new RemoteViews();
    private final Map<DataCentreName, MonotonicTime> lastHeartbeats = new HashMap<>();
    private final Map<DataCentreName, Integer> contactIndexes = new HashMap<>();
    private final Map<DataCentreName, VmName> knownLeads = new HashMap<>();
    private final Set<DataCentreName> unreachable = new HashSet<>();
    private VmDirectory declaredVms;
    private DataCentreName localDataCentre;
    private final MonotonicTime started;
    private MonotonicTime nextHeartbeat;
    private MonotonicTime nextVersionExchange;
    private boolean leaving;
    private boolean suspicionTimeoutElapsed;
    private long leadTerm = Heartbeat.NO_LEAD;

    private Membership(
            Incarnation localIncarnation, VmDirectory declaredVms, MembershipSettings settings, MonotonicTime now) {
        this.localIncarnation = localIncarnation;
        this.settings = settings;
        this.started = now;
        this.nextHeartbeat = now;
        this.nextVersionExchange = now;
        updateDeclaredVms(declaredVms);
    }

    /**
     * Creates a membership that has received no heartbeats.
     *
     * @param localIncarnation incarnation of the local VM
     * @param declaredVms the declared VMs, including the local VM
     * @param settings heartbeat intervals and timeouts
     * @param now current time
     * @return the membership
     */
    public static Membership create(
            Incarnation localIncarnation, VmDirectory declaredVms, MembershipSettings settings, MonotonicTime now) {
        return new Membership(localIncarnation, declaredVms, settings, now);
    }

    /**
     * Replaces the declared VMs after a configuration change.
     *
     * @param next the declared VMs; if the local VM is no longer declared, it continues as leaving
     */
    public void updateDeclaredVms(VmDirectory next) {
        declaredVms = next;
        if (next.contains(localIncarnation.vm())) {
            localDataCentre = next.dataCentre(localIncarnation.vm());
        } else {
            leaving = true;
        }
        peers.updateDeclaredPeers(next.vms(localDataCentre).stream()
                .filter(v -> !v.equals(localIncarnation.vm()))
                .toList());
        lastHeartbeats.keySet().retainAll(next.dataCentres());
        unreachable.retainAll(next.dataCentres());
    }

    /**
     * Sends due heartbeats and updates the state of silent VMs.
     *
     * @param now current time
     * @return effects to perform
     */
    public List<MembershipEffect> tick(MonotonicTime now) {
        List<MembershipEffect> effects = new ArrayList<>(peers.updateStates(now, suspectAfter(), deadAfter()));
        if (!now.isBefore(nextHeartbeat)) {
            nextHeartbeat = now.plus(interval());
            suspicionTimeoutElapsed =
                    suspicionTimeoutElapsed || now.since(started).compareTo(suspectAfter()) >= 0;
            updateReachability(now, effects);
            publishLocalView(effects);
            sendHeartbeats(effects);
        }
        return effects;
    }

    /**
     * Processes a heartbeat.
     *
     * @param h the heartbeat
     * @param now current time
     * @return effects to perform
     */
    public List<MembershipEffect> heartbeatReceived(Heartbeat h, MonotonicTime now) {
        List<MembershipEffect> effects = new ArrayList<>();
        if (!declaredVms.contains(h.from().vm())) {
            return effects;
        }
        DataCentreName from = declaredVms.dataCentre(h.from().vm());
        if (from.equals(localDataCentre)) {
            processPeerHeartbeat(h, now, effects);
        } else {
            processRemoteHeartbeat(from, h, now, effects);
        }
        return effects;
    }

    /**
     * Applies views received from another VM and forwards newer ones to the peers if this VM acts as lead.
     *
     * @param received the views
     * @return effects to perform
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
     * Sends the views that another VM may lack, according to its known versions.
     *
     * @param from the other VM
     * @param versions view versions known to the other VM
     * @return effects to perform
     */
    public List<MembershipEffect> versionsReceived(VmName from, Collection<ViewVersion> versions) {
        List<DataCentreView> missing = views.notOlderThan(versions);
        return missing.isEmpty() ? List.of() : List.of(new MembershipEffect.SendViews(from, missing));
    }

    /**
     * Applies the platform's VM list, which may lag.
     *
     * @param live running VMs, including leaving ones
     * @param leavingVms VMs that are about to shut down
     */
    public void updateVmList(Set<VmName> live, Set<VmName> leavingVms) {
        peers.updateVmList(live, leavingVms);
    }

    /** Marks the local VM as leaving and makes the next heartbeat, which announces it, due immediately. */
    public void startLeaving() {
        leaving = true;
        nextHeartbeat = started;
    }

    /**
     * Sets the term under which this VM acts as lead of its data centre, as {@link LeadLease} permits.
     *
     * @param term term of the lease, or {@link Heartbeat#NO_LEAD} if it does not act as lead
     */
    public void setLeadTerm(long term) {
        leadTerm = term;
    }

    /**
     * Returns the VM that should lead the local data centre.
     *
     * <p>A live VM that claims to be the lead takes precedence; of several, the one with the highest term. Otherwise
     * the oldest incarnation is the candidate, so that restarts rarely change the lead. A VM that has just started
     * returns no candidate until the suspicion timeout has elapsed.
     *
     * @return the candidate, empty if there is none
     */
    public Optional<Incarnation> leadCandidate() {
        if (!suspicionTimeoutElapsed) {
            return Optional.empty();
        }
        Comparator<Member> byTerm = Comparator.comparingLong(this::claimedTerm).reversed();
        return members(localDataCentre).stream()
                .filter(m -> m.state().acceptsNewRequests())
                .min(byTerm.thenComparingLong(m -> m.incarnation().number())
                        .thenComparing(m -> m.incarnation().vm()))
                .map(Member::incarnation);
    }

    private long claimedTerm(Member m) {
        return m.incarnation().equals(localIncarnation)
                ? leadTerm
                : peers.leadTerm(m.incarnation().vm());
    }

    /**
     * Returns all known members of a data centre, i.e. VMs that have sent a heartbeat.
     *
     * @param dataCentre the data centre
     * @return its members, including the local VM; live members count as suspect if the data centre is unreachable
     */
    public List<Member> members(DataCentreName dataCentre) {
        if (!dataCentre.equals(localDataCentre)) {
            return remoteMembers(dataCentre);
        }
        List<Member> all = new ArrayList<>(peers.members());
        all.add(new Member(localIncarnation, leaving ? MemberState.LEAVING : MemberState.LIVE));
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
     * Returns the state of any VM of the fleet.
     *
     * @param vm the VM
     * @return its state, {@link MemberState#UNKNOWN} if the VM is undeclared or has never sent a heartbeat
     */
    public MemberState state(VmName vm) {
        if (!declaredVms.contains(vm)) {
            return MemberState.UNKNOWN;
        }
        return members(declaredVms.dataCentre(vm)).stream()
                .filter(m -> m.incarnation().vm().equals(vm))
                .findFirst()
                .map(Member::state)
                .orElse(MemberState.UNKNOWN);
    }

    /**
     * Returns whether a VM of this data centre is gone according to both heartbeats and the platform's list.
     *
     * @param vm the VM
     * @return true if the VM is dead or never sent a heartbeat, and is not listed
     */
    public boolean isConfirmedGone(VmName vm) {
        return peers.isConfirmedGone(vm);
    }

    /**
     * Returns whether a data centre is reachable according to this VM or its lead.
     *
     * @param dataCentre the data centre
     * @return true if it is the local data centre or is not known to be unreachable
     */
    public boolean isReachable(DataCentreName dataCentre) {
        return !unreachable.contains(dataCentre);
    }

    /**
     * Returns whether the suspicion timeout has elapsed since the start, so that the states of the local peers are
     * reliable.
     *
     * @return true once the suspicion timeout has elapsed
     */
    public boolean isSuspicionTimeoutElapsed() {
        return suspicionTimeoutElapsed;
    }

    /**
     * Returns the incarnation of the local VM.
     *
     * @return the incarnation
     */
    public Incarnation localIncarnation() {
        return localIncarnation;
    }

    /**
     * Returns the data centre of the local VM.
     *
     * @return its name
     */
    public DataCentreName localDataCentre() {
        return localDataCentre;
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

    private void processPeerHeartbeat(Heartbeat h, MonotonicTime now, List<MembershipEffect> effects) {
        if (!peers.applyHeartbeat(h, now)) {
            return;
        }
        effects.addAll(peers.updateStates(now, suspectAfter(), deadAfter()));
        if (h.isLead()) {
            adoptReachability(h.unreachable(), effects);
            requestMissingViews(h, now, effects);
        }
    }

    private void adoptReachability(Set<DataCentreName> reportedUnreachable, List<MembershipEffect> effects) {
        if (isActingLead()) {
            return;
        }
        for (DataCentreName d : declaredVms.dataCentres()) {
            if (!d.equals(localDataCentre)) {
                setReachable(d, !reportedUnreachable.contains(d), effects);
            }
        }
    }

    private void processRemoteHeartbeat(
            DataCentreName from, Heartbeat h, MonotonicTime now, List<MembershipEffect> effects) {
        lastHeartbeats.put(from, now);
        if (h.isLead()) {
            knownLeads.put(from, h.from().vm());
        }
        setReachable(from, true, effects);
        if (h.isLead() && isActingLead()) {
            adoptGatewayReachability(from, h, effects);
        }
        requestMissingViews(h, now, effects);
    }

    /**
     * Adopts the reachability reported by a gateway: that of the local region for all data centres that are not direct
     * contacts, that of another region for the data centres of its region.
     */
    private void adoptGatewayReachability(DataCentreName from, Heartbeat h, List<MembershipEffect> effects) {
        for (DataCentreName d : declaredVms.dataCentres()) {
            boolean reportedByGateway = isLocalGateway(from) ? !isContact(d) : isSameRegion(d, from) && !isContact(d);
            if (reportedByGateway && !d.equals(localDataCentre) && !d.equals(from)) {
                setReachable(d, !h.unreachable().contains(d), effects);
            }
        }
    }

    private void requestMissingViews(Heartbeat h, MonotonicTime now, List<MembershipEffect> effects) {
        if (h.viewsDigest() != views.digest() && !now.isBefore(nextVersionExchange)) {
            nextVersionExchange = now.plus(interval());
            effects.add(new MembershipEffect.SendVersions(h.from().vm(), views.versions(declaredVms.dataCentres())));
        }
    }

    private void publishLocalView(List<MembershipEffect> effects) {
        if (!isActingLead()) {
            return;
        }
        List<Member> present = members(localDataCentre);
        Optional<DataCentreView> known = views.view(localDataCentre);
        if (known.isPresent()
                && known.get().author().equals(localIncarnation)
                && known.get().members().equals(present)) {
            return;
        }
        long version = known.map(DataCentreView::version).orElse(0L) + 1;
        DataCentreView view = new DataCentreView(localDataCentre, version, localIncarnation, present);
        views.accept(view);
        List<DataCentreView> one = List.of(view);
        livePeers().forEach(p -> effects.add(new MembershipEffect.SendViews(p, one)));
        contacts().forEach(d -> effects.add(new MembershipEffect.SendViews(contactVm(d, false), one)));
    }

    private void sendHeartbeats(List<MembershipEffect> effects) {
        Heartbeat h = new Heartbeat(localIncarnation, leaving, leadTerm, views.digest(), unreachable);
        peers.names().forEach(p -> effects.add(new MembershipEffect.SendHeartbeat(p, h)));
        if (isActingLead()) {
            contacts()
                    .forEach(d ->
                            effects.add(new MembershipEffect.SendHeartbeat(contactVm(d, unreachable.contains(d)), h)));
        }
    }

    private void updateReachability(MonotonicTime now, List<MembershipEffect> effects) {
        if (!isActingLead()) {
            return;
        }
        for (DataCentreName d : contacts()) {
            MonotonicTime lastHeartbeat = lastHeartbeats.getOrDefault(d, started);
            setReachable(d, now.since(lastHeartbeat).compareTo(deadAfter()) < 0, effects);
        }
    }

    private void setReachable(DataCentreName d, boolean reachable, List<MembershipEffect> effects) {
        boolean changed = reachable ? unreachable.remove(d) : unreachable.add(d);
        if (changed) {
            effects.add(new MembershipEffect.ReachabilityChanged(d, reachable));
        }
    }

    /** Returns the data centres with whose leads this lead exchanges heartbeats. */
    private List<DataCentreName> contacts() {
        return declaredVms.dataCentres().stream().filter(this::isContact).toList();
    }

    private boolean isContact(DataCentreName d) {
        if (d.equals(localDataCentre) || declaredVms.vms(d).isEmpty()) {
            return false;
        }
        return isSameRegion(d, localDataCentre)
                || (isLocalGateway(localDataCentre) && d.equals(gateway(declaredVms.region(d))));
    }

    private boolean isLocalGateway(DataCentreName d) {
        return d.equals(gateway(declaredVms.region(localDataCentre)));
    }

    /** Returns the data centre whose lead represents a region: its first reachable data centre. */
    private DataCentreName gateway(RegionName region) {
        List<DataCentreName> candidates = declaredVms.dataCentres().stream()
                .filter(d -> declaredVms.region(d).equals(region))
                .filter(d -> !declaredVms.vms(d).isEmpty())
                .toList();
        return candidates.stream()
                .filter(d -> !unreachable.contains(d))
                .findFirst()
                .orElseGet(() -> candidates.isEmpty() ? localDataCentre : candidates.getFirst());
    }

    private boolean isSameRegion(DataCentreName a, DataCentreName b) {
        return declaredVms.region(a).equals(declaredVms.region(b));
    }

    /** Returns the VM to contact in another data centre: its known lead, or its VMs in turn if it is silent. */
    private VmName contactVm(DataCentreName d, boolean silent) {
        List<VmName> declared = declaredVms.vms(d);
        VmName lead = knownLeads.get(d);
        if (!silent && lead != null && declared.contains(lead)) {
            return lead;
        }
        int next = contactIndexes.merge(d, 1, Integer::sum);
        return declared.get(Math.floorMod(next, declared.size()));
    }
}
