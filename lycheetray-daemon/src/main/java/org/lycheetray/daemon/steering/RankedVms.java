package org.lycheetray.daemon.steering;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.lycheetray.core.lookup.ClientBlockTable;
import org.lycheetray.core.lookup.EntryVm;
import org.lycheetray.core.lookup.EntryVmRanking;
import org.lycheetray.core.lookup.Prefix;
import org.lycheetray.core.membership.Member;
import org.lycheetray.core.membership.MemberState;
import org.lycheetray.core.membership.Membership;
import org.lycheetray.core.model.ClientAccount;
import org.lycheetray.core.model.ClientAccountName;
import org.lycheetray.core.model.ConfigVersion;
import org.lycheetray.core.model.DataCentre;
import org.lycheetray.core.model.DataCentreName;
import org.lycheetray.core.model.Link;
import org.lycheetray.core.model.RegionName;
import org.lycheetray.core.model.Vm;
import org.lycheetray.core.time.Clock;
import org.lycheetray.daemon.config.ActiveConfig;
import org.lycheetray.daemon.config.ConfigView;
import org.lycheetray.daemon.control.ControlThread;
import org.lycheetray.daemon.http.LookupGate;

/** Ranks live entry VMs for callers; the ranking is made on the control thread and read from any. */
public final class RankedVms implements LookupGate {
    private static final Duration REFRESH = Duration.ofMillis(500);
    private static final Duration WARM_UP = Duration.ofSeconds(10);
    private static final int REQUESTS_PER_SECOND_PER_VM = 200;

    private final FleetMembership fleet;
    private final ConfigView config;
    private final DataCentreName own;
    private final Clock clock;
    private final ClientBlockTable blocks = new ClientBlockTable();
    private ConfigVersion loaded = ConfigVersion.NONE;
    private volatile Optional<EntryVmRanking> ranking = Optional.empty();

    /**
     * Starts to rank.
     *
     * @param fleet live VMs
     * @param control makes the ranking
     * @param config declared VMs and client blocks
     * @param own data centre of this VM, near callers of unknown blocks
     * @param clock clock of the process
     */
    public RankedVms(FleetMembership fleet, ControlThread control, ConfigView config, DataCentreName own, Clock clock) {
        this.fleet = fleet;
        this.config = config;
        this.own = own;
        this.clock = clock;
        var _ = control.every("rank-vms", REFRESH, this::refresh);
    }

    private void refresh() {
        fleet.membership()
                .ifPresent(m -> config.active().ifPresent(c -> {
                    if (!c.version().equals(loaded)) {
                        blocks.load(c.manifest().clientBlocks());
                        loaded = c.version();
                    }
                    Duration ttl = c.manifest().policy().lookupTtl();
                    ranking = Optional.of(new EntryVmRanking(vms(c, m), nearest(c), ttl));
                }));
    }

    /** VMs that no lead has reported yet are offered too, so that a fleet that starts can be used. */
    private List<EntryVm> vms(ActiveConfig c, Membership m) {
        List<EntryVm> result = new ArrayList<>();
        for (DataCentre d : c.manifest().dataCentres()) {
            Map<Vm, Member> heard = new HashMap<>();
            m.members(d.name()).forEach(x -> c.vm(x.incarnation().vm()).ifPresent(v -> heard.put(v, x)));
            for (Vm v : c.manifest().vms()) {
                Member x = heard.get(v);
                boolean offered = x == null ? heard.isEmpty() : x.state() == MemberState.LIVE;
                if (v.dataCentre().equals(d.name()) && offered) {
                    result.add(new EntryVm(v, d.region(), x == null || isWarm(x)));
                }
            }
        }
        return result;
    }

    private boolean isWarm(Member x) {
        return clock.instant().toEpochMilli() - x.incarnation().number() >= WARM_UP.toMillis();
    }

    private static Map<RegionName, List<RegionName>> nearest(ActiveConfig c) {
        Map<RegionName, List<RegionName>> nearest = new HashMap<>();
        for (RegionName from : c.manifest().regions()) {
            Map<RegionName, Duration> delays = new HashMap<>();
            for (Link l : c.manifest().links()) {
                if (l.from().equals(from)) {
                    delays.put(l.to(), l.oneWayDelay());
                }
            }
            delays.put(from, Duration.ZERO);
            nearest.put(
                    from,
                    c.manifest().regions().stream()
                            .sorted(Comparator.comparing(r -> delays.getOrDefault(r, Duration.ofDays(1))))
                            .toList());
        }
        return nearest;
    }

    @Override
    public Optional<Answer> find(Lookup lookup) {
        Optional<ActiveConfig> active = config.active();
        Optional<EntryVmRanking> current = ranking;
        if (active.isEmpty() || current.isEmpty()) {
            return Optional.empty();
        }
        RegionName near = blocks.find(lookup.client()).orElse(active.get().region(own));
        long caller = Prefix.ofAddress(lookup.client()).bits();
        int spread = lookup.account().map(a -> spread(a, active.get())).orElse(1);
        List<Vm> vms = current.get().rank(near, lookup.service(), lookup.account(), caller, spread);
        return Optional.of(new Answer(vms, current.get().ttl(caller)));
    }

    private static int spread(ClientAccountName account, ActiveConfig c) {
        long rate = c.manifest().clientAccounts().stream()
                .filter(a -> a.name().equals(account))
                .findFirst()
                .map(ClientAccount::rate)
                .map(r -> r.perSecond())
                .orElse(1L);
        return (int) Math.min(Integer.MAX_VALUE, 1 + rate / REQUESTS_PER_SECOND_PER_VM);
    }
}
