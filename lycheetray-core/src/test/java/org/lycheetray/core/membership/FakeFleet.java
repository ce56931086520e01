package org.lycheetray.core.membership;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Function;
import org.lycheetray.core.model.DataCentre;
import org.lycheetray.core.model.DataCentreName;
import org.lycheetray.core.model.Endpoint;
import org.lycheetray.core.model.Incarnation;
import org.lycheetray.core.model.RegionName;
import org.lycheetray.core.model.Vm;
import org.lycheetray.core.model.VmName;
import org.lycheetray.core.time.MonotonicTime;

/** Simulated fleet whose network can be partitioned between data centres. */
final class FakeFleet {
    static final Duration STEP = Duration.ofMillis(50);

    final TreeMap<VmName, Membership> running = new TreeMap<>();
    final Set<VmName> silentVms = new HashSet<>();
    final Set<Set<DataCentreName>> partitions = new HashSet<>();
    final VmDirectory declaredVms;
    MonotonicTime now = MonotonicTime.ZERO;
    long messages;

    private final ArrayDeque<Runnable> network = new ArrayDeque<>();

    FakeFleet(int regions, int dataCentresPerRegion, int vmsPerDataCentre) {
        List<DataCentre> dataCentres = new ArrayList<>();
        List<Vm> vms = new ArrayList<>();
        for (int r = 0; r < regions; r++) {
            for (int d = 0; d < dataCentresPerRegion; d++) {
                DataCentreName dc = dataCentre(r, d);
                dataCentres.add(new DataCentre(dc, new RegionName("r" + r)));
                for (int v = 0; v < vmsPerDataCentre; v++) {
                    Endpoint e = new Endpoint("127.0.0.1", 1 + vms.size());
                    vms.add(new Vm(vm(r, d, v), dc, e, e));
                }
            }
        }
        declaredVms = VmDirectory.of(dataCentres, vms);
        vms.forEach(v -> start(v.name(), vms.indexOf(v) + 1));
    }

    static DataCentreName dataCentre(int region, int dataCentre) {
        return new DataCentreName("r" + region + "d" + dataCentre);
    }

    static VmName vm(int region, int dataCentre, int vm) {
        return new VmName(dataCentre(region, dataCentre) + "v" + vm);
    }

    void start(VmName vm, long number) {
        running.put(vm, Membership.create(new Incarnation(vm, number), declaredVms, MembershipSettings.STANDARD, now));
    }

    Membership membershipOf(int region, int dataCentre, int vm) {
        return running.get(vm(region, dataCentre, vm));
    }

    void run(Duration d) {
        MonotonicTime end = now.plus(d);
        while (now.isBefore(end)) {
            now = now.plus(STEP);
            for (Map.Entry<VmName, Membership> e : running.entrySet()) {
                Membership m = e.getValue();
                m.setLeadTerm(
                        m.leadCandidate().filter(m.localIncarnation()::equals).isPresent() ? 1 : Heartbeat.NO_LEAD);
                perform(e.getKey(), m.tick(now));
            }
            while (!network.isEmpty()) {
                network.poll().run();
            }
        }
    }

    private void perform(VmName from, List<MembershipEffect> effects) {
        for (MembershipEffect e : effects) {
            switch (e) {
                case MembershipEffect.SendHeartbeat s ->
                    send(from, s.to(), m -> m.heartbeatReceived(s.heartbeat(), now));
                case MembershipEffect.SendViews s -> send(from, s.to(), m -> m.viewsReceived(s.views()));
                case MembershipEffect.SendVersions s -> send(from, s.to(), m -> m.versionsReceived(from, s.versions()));
                case MembershipEffect.Reconnect r -> {}
                case MembershipEffect.StateChanged s -> {}
                case MembershipEffect.ReachabilityChanged r -> {}
            }
        }
    }

    private void send(VmName from, VmName to, Function<Membership, List<MembershipEffect>> delivery) {
        messages++;
        if (silentVms.contains(from) || silentVms.contains(to) || isPartitioned(from, to)) {
            return;
        }
        network.add(() -> {
            Membership m = running.get(to);
            if (m != null) {
                perform(to, delivery.apply(m));
            }
        });
    }

    private boolean isPartitioned(VmName a, VmName b) {
        DataCentreName from = declaredVms.dataCentre(a);
        DataCentreName to = declaredVms.dataCentre(b);
        return !from.equals(to) && partitions.contains(Set.of(from, to));
    }
}
