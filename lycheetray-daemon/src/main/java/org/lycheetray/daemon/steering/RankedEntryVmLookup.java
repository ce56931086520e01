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
import org.lycheetray.daemon.http.EntryVmLookup;

/**
 * Ranks the live entry VMs for callers.
 *
 * <p>The control thread rebuilds the ranking periodically; look-ups may come from any thread.
 */
public final class RankedEntryVmLookup implements EntryVmLookup {
    private static final Duration REFRESH_PERIOD = Duration.ofMillis(500);
    private static final Duration WARM_UP_TIME = Duration.ofSeconds(10);
    private static final int REQUESTS_PER_SECOND_PER_VM = 200;

    private final FleetMembership fleet;
    private final ConfigView config;
    private final DataCentreName localDataCentre;
    private final Clock clock;
    private final ClientBlockTable blocks = new ClientBlockTable();
    private ConfigVersion loadedVersion = ConfigVersion.NONE;
    private volatile Optional<EntryVmRanking> ranking = Optional.empty();

    /**
     * Starts the periodic rebuild of the ranking.
     *
     * @param fleet provides the live VMs
     * @param control thread that rebuilds the ranking
     * @param config provides the declared VMs and client blocks
     * @param localDataCentre data centre of this VM; its region is assumed for callers outside all client blocks
     * @param clock clock of the process
     */
    public RankedEntryVmLookup(
            FleetMembership fleet,
            ControlThread control,
            ConfigView config,
            DataCentreName localDataCentre,
            Clock clock) {
        this.fleet = fleet;
        this.config = config;
        this.localDataCentre = localDataCentre;
        this.clock = clock;
        var _ = control.schedulePeriodically("rank-vms", REFRESH_PERIOD, this::refresh);
    }

    private void refresh() {
        fleet.membership()
                .ifPresent(m -> config.active().ifPresent(c -> {
                    if (!c.version().equals(loadedVersion)) {
                        blocks.load(c.manifest().clientBlocks());
                        loadedVersion = c.version();
                    }
                    Duration ttl = c.manifest().policy().lookupTtl();
                    ranking = Optional.of(new EntryVmRanking(candidates(c, m), regionsByDelay(c), ttl));
                }));
    }

    /**
     * Returns the VMs to rank.
     *
     * <p>Includes all declared VMs of a data centre whose lead has not reported any members yet, so that look-ups work
     * while the fleet starts.
     */
    private List<EntryVm> candidates(ActiveConfig c, Membership m) {
        List<EntryVm> result = new ArrayList<>();
        for (DataCentre d : c.manifest().dataCentres()) {
            Map<Vm, Member> reported = new HashMap<>();
            m.members(d.name()).forEach(x -> c.vm(x.incarnation().vm()).ifPresent(v -> reported.put(v, x)));
            for (Vm v : c.manifest().vms()) {
                Member x = reported.get(v);
                boolean usable = x == null ? reported.isEmpty() : x.state() == MemberState.LIVE;
                if (v.dataCentre().equals(d.name()) && usable) {
                    result.add(new EntryVm(v, d.region(), x == null || isWarm(x)));
                }
            }
        }
        return result;
    }

    private boolean isWarm(Member x) {
        return clock.instant().toEpochMilli() - x.incarnation().number() >= WARM_UP_TIME.toMillis();
    }

    private static Map<RegionName, List<RegionName>> regionsByDelay(ActiveConfig c) {
        Map<RegionName, List<RegionName>> result = new HashMap<>();
        for (RegionName from : c.manifest().regions()) {
            Map<RegionName, Duration> delays = new HashMap<>();
            for (Link l : c.manifest().links()) {
                if (l.from().equals(from)) {
                    delays.put(l.to(), l.oneWayDelay());
                }
            }
            delays.put(from, Duration.ZERO);
            result.put(
                    from,
                    c.manifest().regions().stream()
                            .sorted(Comparator.comparing(r -> delays.getOrDefault(r, Duration.ofDays(1))))
                            .toList());
        }
        return result;
    }

    @Override
    public Optional<Answer> findVms(Query lookup) {
        Optional<ActiveConfig> active = config.active();
        Optional<EntryVmRanking> current = ranking;
        if (active.isEmpty() || current.isEmpty()) {
            return Optional.empty();
        }
        RegionName callerRegion =
                blocks.find(lookup.client()).orElse(active.get().region(localDataCentre));
        long caller = Prefix.ofAddress(lookup.client()).bits();
        int vmCount = lookup.account().map(a -> targetVmCount(a, active.get())).orElse(1);
        List<Vm> vms = current.get().rank(callerRegion, lookup.service(), lookup.account(), caller, vmCount);
        return Optional.of(new Answer(vms, current.get().ttl(caller)));
    }

    private static int targetVmCount(ClientAccountName account, ActiveConfig c) {
        long rate = c.manifest().clientAccounts().stream()
                .filter(a -> a.name().equals(account))
                .findFirst()
                .map(ClientAccount::rate)
                .map(r -> r.perSecond())
                .orElse(1L);
        return (int) Math.min(Integer.MAX_VALUE, 1 + rate / REQUESTS_PER_SECOND_PER_VM);
    }
}
