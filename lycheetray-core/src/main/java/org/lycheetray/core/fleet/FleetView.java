package org.lycheetray.core.fleet;

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
import java.util.TreeMap;
import java.util.function.Predicate;
import org.lycheetray.core.model.DataCentreName;
import org.lycheetray.core.model.RegionName;
import org.lycheetray.core.model.VmName;
import org.lycheetray.core.slots.RendezvousHash;
import org.lycheetray.core.time.MonotonicTime;

/**
 * The other entry VMs known to this VM, from the records in the store and from status reports.
 *
 * <p>A record only shows that a VM was registered at some time; only its reports show that it is running. Not
 * thread-safe.
 */
public final class FleetView {
    /**
     * Time without a report after which a VM is no longer returned to callers: several report intervals, and well below
     * the timeouts of callers.
     */
    public static final Duration SILENCE_TIMEOUT = Duration.ofSeconds(1);

    /**
     * Time without a report after which a VM is lost: it is removed from the view and its quota shares go to the other
     * VMs. It still counts for all other limits, because silence does not show that it has stopped.
     */
    public static final Duration REMOVAL_TIMEOUT = Duration.ofMinutes(1);

    /** Time without reports of the majority after which this VM is out of touch: several intervals of a large fleet. */
    public static final Duration TOUCH_TIMEOUT = Duration.ofSeconds(5);

    /**
     * Time after which a lost VM is forgotten and no longer counts for any limit. Longer than regions usually stay cut off
     * from each other.
     */
    public static final Duration LOST_RETENTION = Duration.ofHours(1);

    /** Every how many reports lost VMs receive one too, so that the parts of a divided fleet find each other again. */
    private static final int LOST_VM_REPORT_INTERVAL = 8;

    /**
     * Number of other VMs from which reports are relayed by region. In smaller fleets it is cheap and faster to send
     * each report to all VMs.
     */
    private static final int MIN_VMS_FOR_RELAYS = 32;

    /** Incarnation of a VM that shut down as planned, and the time of its removal. */
    private record Departed(long incarnation, MonotonicTime removedAt) {}

    /** A VM whose reports have stopped, and the time since when it is lost. */
    private record LostVm(FleetMember member, MonotonicTime since) {}

    private static final class KnownVm {
        private FleetMember member;
        private long sequence;
        private MonotonicTime lastReportAt;
        private boolean hasReported;
        private boolean serving;
        private boolean hasServed;
        private Optional<Boolean> reachesServers = Optional.empty();

        KnownVm(FleetMember member, MonotonicTime now) {
            this.member = member;
            this.lastReportAt = now;
        }
    }

    private final VmName localVm;
    private final Map<DataCentreName, RegionName> regions;
    private final Map<VmName, KnownVm> others = new HashMap<>();
    private final Map<VmName, Departed> departed = new HashMap<>();
    private final Map<VmName, LostVm> lost = new HashMap<>();
    private boolean recordsRead;
    private boolean allRead;
    private boolean confirmed;
    private boolean localReaches = true;
    private FleetKnowledge knowledge = FleetKnowledge.initial();

    /**
     * Creates a view without any other VMs.
     *
     * @param localVm name of the local VM
     * @param regions region of each data centre
     */
    public FleetView(VmName localVm, Map<DataCentreName, RegionName> regions) {
        this.localVm = localVm;
        this.regions = Map.copyOf(regions);
    }

    /**
     * Adds the VMs that are recorded in the store, except those that are known to have shut down: a store that was
     * restored from an older copy lists them again.
     *
     * @param records the recorded VMs
     * @param now current time
     */
    public void addRecordedVms(Collection<FleetMember> records, MonotonicTime now) {
        recordsRead = true;
        for (FleetMember m : records) {
            KnownVm k = others.get(m.vm());
            Departed d = departed.get(m.vm());
            LostVm l = lost.get(m.vm());
            boolean newer = (k == null || k.member.incarnation() < m.incarnation())
                    && (d == null || d.incarnation() < m.incarnation())
                    && (l == null || l.member().incarnation() < m.incarnation());
            if (!m.vm().equals(localVm) && newer) {
                lost.remove(m.vm());
                others.put(m.vm(), new KnownVm(m, now));
            }
        }
    }

    /** Records that the VMs recorded in the store were read after this VM had written its own record. */
    public void recordAllRead() {
        allRead = true;
    }

    /**
     * Applies a status report of another VM.
     *
     * @param member the reporting VM
     * @param sequence sequence number of the report
     * @param serving true if the VM accepts requests of callers
     * @param now current time
     * @return false if the report was ignored: it is not newer than the last one, or it is from the local VM
     */
    public boolean applyReport(FleetMember member, long sequence, boolean serving, MonotonicTime now) {
        if (member.vm().equals(localVm)) {
            return false;
        }
        KnownVm k = others.computeIfAbsent(member.vm(), n -> new KnownVm(member, now));
        boolean newer = member.incarnation() > k.member.incarnation()
                || (member.incarnation() == k.member.incarnation() && (sequence > k.sequence || !k.hasReported));
        if (!newer) {
            return false;
        }
        lost.remove(member.vm());
        if (member.incarnation() > k.member.incarnation()) {
            k.hasServed = false;
        }
        k.member = member;
        k.sequence = sequence;
        k.lastReportAt = now;
        k.hasReported = true;
        k.serving = serving;
        k.hasServed |= serving;
        return true;
    }

    /**
     * Records what a VM has reported of its paths to the backend servers.
     *
     * @param vm name of the VM
     * @param reaches whether it reaches servers; empty for a VM that does not relay requests
     */
    public void recordReach(VmName vm, Optional<Boolean> reaches) {
        KnownVm k = others.get(vm);
        if (k != null) {
            k.reachesServers = reaches;
        }
    }

    /**
     * Records whether the local VM reaches servers.
     *
     * @param reaches false while it is cut off from all of them
     */
    public void recordLocalReach(boolean reaches) {
        localReaches = reaches;
    }

    /**
     * Returns whether the local VM reaches servers.
     *
     * @return false while it is cut off from all of them
     */
    public boolean localReaches() {
        return localReaches;
    }

    /**
     * Returns the VMs that send requests of the local VM to servers in its place if asked.
     *
     * @param now current time
     * @return serving VMs that have reported recently that they reach servers
     */
    public List<FleetMember> relays(MonotonicTime now) {
        return others.values().stream()
                .filter(k -> isServing(k, now) && k.reachesServers.orElse(false))
                .map(k -> k.member)
                .toList();
    }

    private static boolean isServing(KnownVm k, MonotonicTime now) {
        return k.hasReported && k.serving && !isSilent(k, now);
    }

    /**
     * Removes VMs that shut down as planned. VMs that have not reported within {@link #REMOVAL_TIMEOUT} become lost.
     *
     * @param now current time
     */
    public void removeExpired(MonotonicTime now) {
        departed.values().removeIf(d -> now.since(d.removedAt()).compareTo(REMOVAL_TIMEOUT) > 0);
        others.values().removeIf(k -> {
            boolean left = k.hasReported && !k.serving && isSilent(k, now);
            boolean expired = now.since(k.lastReportAt).compareTo(REMOVAL_TIMEOUT) > 0;
            if (left) {
                departed.put(k.member.vm(), new Departed(k.member.incarnation(), now));
            }
            // A VM that is starting does not serve either.
            if (left ? !k.hasServed : expired) {
                lost.put(k.member.vm(), new LostVm(k.member, now));
            }
            return left || expired;
        });
    }

    /**
     * Forgets the VMs that have been lost for {@link #LOST_RETENTION}.
     *
     * @param now current time
     * @return those whose records the local VM should remove from the store; of the VMs that hear each other, one returns
     *     each of them
     */
    public List<FleetMember> removeForgotten(MonotonicTime now) {
        List<FleetMember> forgotten = lost.values().stream()
                .filter(l -> now.since(l.since()).compareTo(LOST_RETENTION) > 0)
                .map(LostVm::member)
                .toList();
        forgotten.forEach(m -> lost.remove(m.vm()));
        return forgotten.stream().filter(m -> isRemover(m, now)).toList();
    }

    private boolean isRemover(FleetMember forgotten, MonotonicTime now) {
        List<VmName> running = new ArrayList<>();
        running.add(localVm);
        others.values().stream()
                .filter(k -> k.hasReported && !isSilent(k, now))
                .forEach(k -> running.add(k.member.vm()));
        return RendezvousHash.rank(forgotten.vm().value(), running).getFirst().equals(localVm);
    }

    /**
     * Returns what is known of the VMs that share the limits of the fleet.
     *
     * <p>A VM counts until it shuts down as planned or is forgotten, also when it is silent: it may be running and using
     * its share. A new process is counted by all others once they have received its reports, which it takes to be the
     * case when all of them have reported to it at one time.
     *
     * @param now current time
     * @return the knowledge, as of now
     */
    public FleetKnowledge knowledge(MonotonicTime now) {
        int vms = sharerCount() + 1;
        long reporting = 1
                + others.values().stream()
                        .filter(k -> k.hasReported && now.since(k.lastReportAt).compareTo(TOUCH_TIMEOUT) <= 0)
                        .count();
        boolean inTouch = 2 * reporting >= vms;
        confirmed |= allRead && reporting == vms;
        FleetKnowledge next;
        if (!recordsRead) {
            return knowledge;
        } else if (!confirmed) {
            next = new FleetKnowledge.Joining(vms, knowledge.version() + 1, now);
        } else if (inTouch) {
            next = new FleetKnowledge.Known(vms, knowledge.version() + 1, now);
        } else {
            next = new FleetKnowledge.OutOfTouch(vms, knowledge.version() + 1, now);
        }
        if (!next.getClass().equals(knowledge.getClass()) || next.vms() != knowledge.vms()) {
            knowledge = next;
        }
        return knowledge;
    }

    /**
     * Returns the data centres of all other VMs that share the limits of the fleet, whether they can be reached or not.
     *
     * @return data centre of each VM
     */
    public Map<VmName, DataCentreName> sharers() {
        Map<VmName, DataCentreName> sharers = new HashMap<>();
        lost.values().forEach(l -> sharers.put(l.member().vm(), l.member().dataCentre()));
        members().forEach(m -> sharers.put(m.vm(), m.dataCentre()));
        return sharers;
    }

    /**
     * Returns the number of other VMs that share the limits of the fleet.
     *
     * @return size of {@link #sharers}
     */
    public int sharerCount() {
        return others.size() + lost.size();
    }

    /**
     * Returns all known other VMs.
     *
     * @return their latest known incarnations
     */
    public List<FleetMember> members() {
        return others.values().stream().map(k -> k.member).toList();
    }

    /**
     * Selects the recipients of a report.
     *
     * <p>In a large fleet one VM of each other region relays the report there, so that the traffic between regions does
     * not grow with the square of the fleet size. The relay changes with each report, so that the failure of one loses
     * few reports.
     *
     * @param local the local VM
     * @param sequence sequence number of the report
     * @param now current time
     * @return the recipients
     */
    public ReportRecipients recipients(FleetMember local, long sequence, MonotonicTime now) {
        List<FleetMember> direct = new ArrayList<>();
        if (sequence % LOST_VM_REPORT_INTERVAL == 0) {
            lost.values().forEach(l -> direct.add(l.member()));
        }
        if (others.size() < MIN_VMS_FOR_RELAYS) {
            direct.addAll(members());
            return new ReportRecipients(direct, List.of(), false);
        }
        Map<RegionName, List<FleetMember>> byRegion = new TreeMap<>();
        others.values().forEach(k -> {
            Optional<RegionName> r = region(k.member);
            if (r.isEmpty() || r.equals(region(local))) {
                direct.add(k.member);
            } else if (!isSilent(k, now)) {
                byRegion.computeIfAbsent(r.get(), n -> new ArrayList<>()).add(k.member);
            }
        });
        List<FleetMember> relays = new ArrayList<>();
        int offset = local.vm().hashCode();
        byRegion.values().forEach(list -> {
            list.sort(Comparator.comparing(FleetMember::vm));
            relays.add(list.get(Math.floorMod(offset + sequence, list.size())));
        });
        return new ReportRecipients(direct, relays, true);
    }

    /**
     * Returns a VM if the given incarnation of it is known.
     *
     * @param vm name of the VM
     * @param incarnation incarnation of the VM
     * @return the VM, or empty if this is not its latest known incarnation
     */
    public Optional<FleetMember> member(VmName vm, long incarnation) {
        return Optional.ofNullable(others.get(vm)).map(k -> k.member).filter(m -> m.incarnation() == incarnation);
    }

    /**
     * Returns whether another VM receives reports directly from the local VM.
     *
     * @param local the local VM
     * @param vm name of the other VM
     * @return false if reports to it are relayed, because it is in another region of a large fleet
     */
    public boolean receivesReportsDirectly(FleetMember local, VmName vm) {
        KnownVm k = others.get(vm);
        return others.size() < MIN_VMS_FOR_RELAYS
                || k == null
                || region(k.member).isEmpty()
                || region(k.member).equals(region(local));
    }

    /**
     * Returns the number of known other VMs.
     *
     * @return the number of VMs, the local VM not included
     */
    public int size() {
        return others.size();
    }

    /**
     * Returns the names of all known other VMs.
     *
     * @return the names
     */
    public Set<VmName> names() {
        return new HashSet<>(others.keySet());
    }

    /**
     * Returns the VMs that a caller should use.
     *
     * <p>These are the serving VMs of its region; if there are none, the serving VMs of the allowed regions; if there
     * are none either, all serving VMs.
     *
     * @param servingLocalVm the local VM if it is serving
     * @param callerRegion region of the caller, if known
     * @param allowed regions through which requests of the caller may pass; empty for all
     * @param now current time
     * @return VMs that have reported recently and are serving
     */
    public List<FleetMember> vmsForCaller(
            Optional<FleetMember> servingLocalVm,
            Optional<RegionName> callerRegion,
            Set<RegionName> allowed,
            MonotonicTime now) {
        List<FleetMember> serving = new ArrayList<>();
        servingLocalVm.ifPresent(serving::add);
        others.values().stream().filter(k -> isServing(k, now)).forEach(k -> serving.add(k.member));
        List<FleetMember> inCallerRegion = filter(serving, m -> callerRegion.equals(region(m)));
        if (!inCallerRegion.isEmpty()) {
            return preferReaching(inCallerRegion);
        }
        List<FleetMember> inAllowedRegions =
                filter(serving, m -> region(m).filter(allowed::contains).isPresent());
        return preferReaching(inAllowedRegions.isEmpty() ? serving : inAllowedRegions);
    }

    /** Leaves out the VMs that are cut off from all servers, unless the others would get twice their requests or more. */
    private List<FleetMember> preferReaching(List<FleetMember> members) {
        List<FleetMember> reaching = filter(members, this::reachesServers);
        return 2 * reaching.size() > members.size() ? reaching : members;
    }

    private boolean reachesServers(FleetMember m) {
        KnownVm k = others.get(m.vm());
        return k == null ? localReaches : k.reachesServers.orElse(true);
    }

    private static List<FleetMember> filter(List<FleetMember> members, Predicate<FleetMember> p) {
        return members.stream().filter(p).toList();
    }

    private Optional<RegionName> region(FleetMember m) {
        return Optional.ofNullable(regions.get(m.dataCentre()));
    }

    private static boolean isSilent(KnownVm k, MonotonicTime now) {
        return now.since(k.lastReportAt).compareTo(SILENCE_TIMEOUT) > 0;
    }
}
