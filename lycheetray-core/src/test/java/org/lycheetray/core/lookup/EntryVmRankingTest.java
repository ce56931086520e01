package org.lycheetray.core.lookup;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.lycheetray.core.model.ClientAccountName;
import org.lycheetray.core.model.DataCentreName;
import org.lycheetray.core.model.Endpoint;
import org.lycheetray.core.model.RegionName;
import org.lycheetray.core.model.ServiceName;
import org.lycheetray.core.model.Vm;
import org.lycheetray.core.model.VmName;

class EntryVmRankingTest {
    private static final RegionName A = new RegionName("a");
    private static final RegionName B = new RegionName("b");
    private static final ServiceName SERVICE = new ServiceName("s");
    private static final int ACCOUNTS = 2000;

    private static EntryVm vm(RegionName region, int number, boolean warm) {
        Endpoint e = new Endpoint("127.0.0.1", 1 + number);
        return new EntryVm(new Vm(new VmName(region + "-v" + number), new DataCentreName("d"), e, e), region, warm);
    }

    private static EntryVmRanking ranking(List<EntryVm> vms) {
        return new EntryVmRanking(vms, Map.of(A, List.of(A, B)), Duration.ofSeconds(30));
    }

    private static List<EntryVm> vms(int count) {
        return IntStream.range(0, count).mapToObj(i -> vm(A, i, true)).collect(Collectors.toCollection(ArrayList::new));
    }

    private static Vm first(EntryVmRanking r, int account, long caller, int spread) {
        return r.rank(A, SERVICE, Optional.of(new ClientAccountName("acc" + account)), caller, spread)
                .getFirst();
    }

    @Test
    void callersOfAccountAreSentToSameVm() {
        EntryVmRanking r = ranking(vms(5));
        assertThat(first(r, 1, 1, 1)).isEqualTo(first(r, 1, 2, 1));
    }

    @Test
    void localRegionIsRankedFirst() {
        EntryVmRanking r = ranking(List.of(vm(B, 0, true), vm(A, 1, true)));
        assertThat(first(r, 1, 1, 1).name()).isEqualTo(new VmName("a-v1"));
    }

    @Test
    void onlyAccountsOfLeavingVmMoveAndAreDistributed() {
        List<EntryVm> all = vms(5);
        EntryVmRanking before = ranking(all);
        EntryVmRanking after = ranking(all.subList(1, 5));
        List<Vm> movedTo = IntStream.range(0, ACCOUNTS)
                .filter(i -> !first(before, i, 0, 1).equals(first(after, i, 0, 1)))
                .mapToObj(i -> first(after, i, 0, 1))
                .toList();
        assertThat(movedTo.size()).isBetween(ACCOUNTS / 6, ACCOUNTS / 4);
        Map<Vm, Long> spread = movedTo.stream().collect(Collectors.groupingBy(v -> v, Collectors.counting()));
        assertThat(spread.values()).hasSize(4).allMatch(n -> n < movedTo.size() / 3);
    }

    @Test
    void recentlyStartedVmIsNeverRankedFirst() {
        List<EntryVm> all = vms(3);
        all.add(vm(A, 9, false));
        EntryVmRanking r = ranking(all);
        assertThat(IntStream.range(0, ACCOUNTS).mapToObj(i -> first(r, i, i, 2)))
                .noneMatch(v -> v.name().value().equals("a-v9"));
    }

    @Test
    void largeAccountIsDistributedOverSeveralVms() {
        EntryVmRanking r = ranking(vms(5));
        assertThat(IntStream.range(0, 200).mapToObj(i -> first(r, 1, i, 3)).distinct())
                .hasSize(3);
    }

    @Test
    void ttlVariesBelowMaximum() {
        EntryVmRanking r = ranking(vms(1));
        assertThat(IntStream.range(0, 100).mapToObj(r::ttl).distinct().count()).isGreaterThan(50);
        assertThat(r.ttl(7)).isBetween(Duration.ofSeconds(24), Duration.ofSeconds(30));
    }
}
