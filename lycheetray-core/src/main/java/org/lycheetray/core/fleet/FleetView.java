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
import org.lycheetray.core.time.MonotonicTime;

/**
 * The other entry VMs as this VM knows them, from the store's records and from their own reports.
 *
 * <p>A record shows that a VM has existed; only reports show that it lives. For one thread.
 */
public final class FleetView {
    /** Silence after which look-ups no longer name a VM: several reports' worth, well below a caller's patience. */
    public static final Duration SILENCE = Duration.ofSeconds(1);

    /** Silence after which a VM is taken to be gone for good and its shares are used by the others. */
    public static final Duration FORGOTTEN = Duration.ofMinutes(1);

    /** Other VMs from which on reports are passed on by region: below, telling all is cheap and quicker. */
    private static final int DIRECT_VMS = 32;

    private static final class Known {
        private FleetMember member;
        private long sequence;
        private MonotonicTime heard;
        private boolean everHeard;
        private boolean serving;

        Known(FleetMember member, MonotonicTime now) {
            this.member = member;
            this.heard = now;
        }
    }

    private final VmName self;
    private final Map<DataCentreName, RegionName> regions;
    private final Map<VmName, Known> others = new HashMap<>();

    /**
     * Creates a view that knows nobody.
     *
     * @param self this VM
     * @param regions region of every data centre
     */
    public FleetView(VmName self, Map<DataCentreName, RegionName> regions) {
        this.self = self;
        this.regions = Map.copyOf(regions);
    }

    /**
     * Takes the store's records of VMs.
     *
     * @param records members that have announced themselves
     * @param now present time
     */
    public void recorded(Collection<FleetMember> records, MonotonicTime now) {
        for (FleetMember m : records) {
            Known k = others.get(m.vm());
            if (!m.vm().equals(self) && (k == null || k.member.incarnation() < m.incarnation())) {
                others.put(m.vm(), new Known(m, now));
            }
        }
    }

    /**
     * Takes a VM's report.
     *
     * @param member the VM
     * @param sequence number of the report
     * @param serving true if look-ups may name it
     * @param now present time
     * @return false if the report is older than one already taken
     */
    public boolean heard(FleetMember member, long sequence, boolean serving, MonotonicTime now) {
        if (member.vm().equals(self)) {
            return false;
        }
        Known k = others.computeIfAbsent(member.vm(), n -> new Known(member, now));
        boolean newer = member.incarnation() > k.member.incarnation()
                || (member.incarnation() == k.member.incarnation() && (sequence > k.sequence || !k.everHeard));
        if (!newer) {
            return false;
        }
        k.member = member;
        k.sequence = sequence;
        k.heard = now;
        k.everHeard = true;
        k.serving = serving;
        return true;
    }

    /**
     * Forgets VMs that have left as planned or were silent for long.
     *
     * @param now present time
     */
    public void expire(MonotonicTime now) {
        others.values()
                .removeIf(k ->
                        now.since(k.heard).compareTo(FORGOTTEN) > 0 || (k.everHeard && !k.serving && isSilent(k, now)));
    }

    /**
     * All other VMs that are not forgotten.
     *
     * @return their present lives
     */
    public List<FleetMember> members() {
        return others.values().stream().map(k -> k.member).toList();
    }

    /**
     * Chooses who gets a report. In a large fleet one VM of each other region passes it on there, each time another
     * one, so that bytes between regions do not grow with the square of the fleet and a lost relay costs few reports.
     *
     * @param own this VM
     * @param sequence number of the report
     * @param now present time
     * @return the VMs to send it to
     */
    public Audience audience(FleetMember own, long sequence, MonotonicTime now) {
        if (others.size() < DIRECT_VMS) {
            return new Audience(members(), List.of(), false);
        }
        List<FleetMember> near = new ArrayList<>();
        Map<RegionName, List<FleetMember>> elsewhere = new TreeMap<>();
        others.values().forEach(k -> {
            Optional<RegionName> r = region(k.member);
            if (r.isEmpty() || r.equals(region(own))) {
                near.add(k.member);
            } else if (!isSilent(k, now)) {
                elsewhere.computeIfAbsent(r.get(), n -> new ArrayList<>()).add(k.member);
            }
        });
        List<FleetMember> far = new ArrayList<>();
        int offset = own.vm().hashCode();
        elsewhere.values().forEach(list -> {
            list.sort(Comparator.comparing(FleetMember::vm));
            far.add(list.get(Math.floorMod(offset + sequence, list.size())));
        });
        return new Audience(near, far, true);
    }

    /**
     * The known life of a VM.
     *
     * @param vm the VM
     * @param incarnation its life
     * @return the member, empty if this life is not known
     */
    public Optional<FleetMember> member(VmName vm, long incarnation) {
        return Optional.ofNullable(others.get(vm)).map(k -> k.member).filter(m -> m.incarnation() == incarnation);
    }

    /**
     * Tells whether a VM gets this VM's reports at first hand.
     *
     * @param own this VM
     * @param vm the other VM
     * @return false if it is in another region of a large fleet
     */
    public boolean isNear(FleetMember own, VmName vm) {
        Known k = others.get(vm);
        return others.size() < DIRECT_VMS
                || k == null
                || region(k.member).isEmpty()
                || region(k.member).equals(region(own));
    }

    /**
     * Number of other VMs that are not forgotten.
     *
     * @return the number
     */
    public int size() {
        return others.size();
    }

    /**
     * Names of all other VMs that are not forgotten.
     *
     * @return the names
     */
    public Set<VmName> names() {
        return new HashSet<>(others.keySet());
    }

    /**
     * Chooses the VMs that a caller should use: those of its region, or any if there are none.
     *
     * @param ownself this VM if it serves
     * @param callerRegion the caller's region, if it is known
     * @param allowed regions that the caller's requests may pass through; empty for all
     * @param now present time
     * @return VMs that live and serve
     */
    public List<FleetMember> forCaller(
            Optional<FleetMember> ownself,
            Optional<RegionName> callerRegion,
            Set<RegionName> allowed,
            MonotonicTime now) {
        List<FleetMember> serving = new ArrayList<>();
        ownself.ifPresent(serving::add);
        others.values().stream()
                .filter(k -> k.everHeard && k.serving && !isSilent(k, now))
                .forEach(k -> serving.add(k.member));
        List<FleetMember> near = filter(serving, m -> callerRegion.equals(region(m)));
        if (!near.isEmpty()) {
            return near;
        }
        List<FleetMember> home =
                filter(serving, m -> region(m).filter(allowed::contains).isPresent());
        return home.isEmpty() ? serving : home;
    }

    private static List<FleetMember> filter(List<FleetMember> members, Predicate<FleetMember> p) {
        return members.stream().filter(p).toList();
    }

    private Optional<RegionName> region(FleetMember m) {
        return Optional.ofNullable(regions.get(m.dataCentre()));
    }

    private static boolean isSilent(Known k, MonotonicTime now) {
        return now.since(k.heard).compareTo(SILENCE) > 0;
    }
}
