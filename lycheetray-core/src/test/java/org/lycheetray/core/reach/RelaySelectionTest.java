package org.lycheetray.core.reach;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import org.lycheetray.core.fleet.FleetMember;
import org.lycheetray.core.model.DataCentreName;
import org.lycheetray.core.model.Endpoint;
import org.lycheetray.core.model.RegionName;
import org.lycheetray.core.model.VmName;

class RelaySelectionTest {
    private static final DataCentreName LOCAL = new DataCentreName("local");
    private static final DataCentreName NEAR = new DataCentreName("near");
    private static final DataCentreName FAR = new DataCentreName("far");
    private static final RegionName REGION = new RegionName("region");
    private static final RegionName OTHER_REGION = new RegionName("other-region");

    private final RelaySelection selection =
            new RelaySelection(LOCAL, Map.of(LOCAL, REGION, NEAR, REGION, FAR, OTHER_REGION), new SplittableRandom(1));
    private final List<FleetMember> vms = List.of(vm("a", LOCAL), vm("b", NEAR), vm("c", FAR));

    private static FleetMember vm(String name, DataCentreName dc) {
        Endpoint e = new Endpoint("127.0.0.1", 1);
        return new FleetMember(new VmName(name), 1, dc, e, e);
    }

    private String select(Set<VmName> excluded, Set<RegionName> allowed, Map<VmName, Integer> inProgress) {
        return selection
                .select(vms, excluded, allowed, v -> inProgress.getOrDefault(v, 0))
                .map(m -> m.vm().value())
                .orElse("none");
    }

    @Test
    void nearestIdleVmIsSelected() {
        assertThat(select(Set.of(), Set.of(), Map.of())).isEqualTo("a");
        assertThat(select(Set.of(new VmName("a")), Set.of(), Map.of())).isEqualTo("b");
    }

    @Test
    void vmOutsideTheAllowedRegionsIsNotSelected() {
        assertThat(select(Set.of(), Set.of(OTHER_REGION), Map.of())).isEqualTo("c");
        assertThat(select(Set.of(new VmName("c")), Set.of(OTHER_REGION), Map.of()))
                .isEqualTo("none");
    }

    @Test
    void requestsSpreadOverVmsAsTheirNumberGrows() {
        Map<VmName, Integer> inProgress = new HashMap<>();
        for (int i = 0; i < 100; i++) {
            inProgress.merge(new VmName(select(Set.of(), Set.of(), inProgress)), 1, Integer::sum);
        }

        assertThat(inProgress.values()).allSatisfy(n -> assertThat(n).isBetween(25, 40));
    }
}
