package org.lycheetray.core.fleet;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.lycheetray.core.model.DataCentreName;
import org.lycheetray.core.model.Endpoint;
import org.lycheetray.core.model.RegionName;
import org.lycheetray.core.model.VmName;
import org.lycheetray.core.time.MonotonicTime;

class FleetViewTest {
    private static final MonotonicTime START = MonotonicTime.ZERO;
    private static final RegionName NEAR = new RegionName("near");
    private static final RegionName FAR = new RegionName("far");
    private static final DataCentreName DC_NEAR = new DataCentreName("dc-near");
    private static final DataCentreName DC_FAR = new DataCentreName("dc-far");

    private static final Map<DataCentreName, RegionName> REGIONS = Map.of(DC_NEAR, NEAR, DC_FAR, FAR);

    private final FleetView view = new FleetView(new VmName("self"), REGIONS);

    private static FleetMember member(String name, long incarnation, DataCentreName dc) {
        Endpoint e = new Endpoint("127.0.0.1", 1000);
        return new FleetMember(new VmName(name), incarnation, dc, e, e);
    }

    private List<FleetMember> vmsForCaller(MonotonicTime now) {
        return view.vmsForCaller(Optional.empty(), Optional.of(NEAR), Set.of(), now);
    }

    @Test
    void recordedVmWithoutReportsIsNotReturnedToCallers() {
        view.addRecordedVms(List.of(member("a", 1, DC_NEAR)), START);

        assertThat(vmsForCaller(START)).isEmpty();
        assertThat(view.names()).hasSize(1);
    }

    @Test
    void silentVmIsNotReturnedToCallers() {
        view.applyReport(member("a", 1, DC_NEAR), 1, true, START);

        assertThat(vmsForCaller(START)).hasSize(1);
        assertThat(vmsForCaller(START.plus(FleetView.SILENCE_TIMEOUT.multipliedBy(2))))
                .isEmpty();
    }

    @Test
    void callersUseVmsOfTheirRegionIfAnyIsServing() {
        view.applyReport(member("a", 1, DC_NEAR), 1, true, START);
        view.applyReport(member("b", 1, DC_FAR), 1, true, START);

        assertThat(vmsForCaller(START)).extracting(m -> m.vm().value()).containsExactly("a");
        view.applyReport(member("a", 1, DC_NEAR), 2, false, START);
        assertThat(vmsForCaller(START)).extracting(m -> m.vm().value()).containsExactly("b");
    }

    @Test
    void outdatedReportIsIgnored() {
        assertThat(view.applyReport(member("a", 5, DC_NEAR), 3, true, START)).isTrue();

        assertThat(view.applyReport(member("a", 4, DC_NEAR), 9, false, START)).isFalse();
        assertThat(view.applyReport(member("a", 5, DC_NEAR), 2, false, START)).isFalse();
        assertThat(vmsForCaller(START)).hasSize(1);
    }

    @Test
    void vmThatHasShutDownIsNotAddedFromAnOutdatedRecord() {
        view.applyReport(member("a", 5, DC_NEAR), 1, false, START);
        MonotonicTime later = START.plus(FleetView.SILENCE_TIMEOUT.multipliedBy(2));
        view.removeExpired(later);

        view.addRecordedVms(List.of(member("a", 5, DC_NEAR)), later);
        assertThat(view.names()).isEmpty();
        view.addRecordedVms(List.of(member("a", 6, DC_NEAR)), later);
        assertThat(view.names()).hasSize(1);
    }

    @Test
    void vmIsRemovedSoonAfterPlannedShutdownAndLateAfterLoss() {
        view.applyReport(member("left", 1, DC_NEAR), 1, false, START);
        view.applyReport(member("lost", 1, DC_NEAR), 1, true, START);

        view.removeExpired(START.plus(FleetView.SILENCE_TIMEOUT.multipliedBy(2)));
        assertThat(view.names()).containsExactly(new VmName("lost"));
        view.removeExpired(START.plus(FleetView.REMOVAL_TIMEOUT.multipliedBy(2)));
        assertThat(view.names()).isEmpty();
    }

    @Test
    void lostVmIsForgottenAndItsRecordRemovedByOneVm() {
        FleetView other = new FleetView(new VmName("other"), REGIONS);
        MonotonicTime lostAt = START.plus(FleetView.REMOVAL_TIMEOUT.multipliedBy(2));
        MonotonicTime end = lostAt.plus(FleetView.LOST_RETENTION.multipliedBy(2));
        for (FleetView v : List.of(view, other)) {
            v.addRecordedVms(List.of(member("lost", 1, DC_NEAR)), START);
            v.removeExpired(lostAt);
            assertThat(v.removeForgotten(lostAt.plus(FleetView.LOST_RETENTION))).isEmpty();
            assertThat(v.sharers()).containsKey(new VmName("lost"));
        }
        view.applyReport(member("other", 1, DC_NEAR), 1, true, end);
        other.applyReport(member("self", 1, DC_NEAR), 1, true, end);

        List<FleetMember> removed = new ArrayList<>(view.removeForgotten(end));
        removed.addAll(other.removeForgotten(end));

        assertThat(removed).containsExactly(member("lost", 1, DC_NEAR));
        assertThat(view.sharers()).containsOnlyKeys(new VmName("other"));
    }

    @Test
    void recordOfALostVmDoesNotDelayThatItIsForgotten() {
        MonotonicTime lostAt = START.plus(FleetView.REMOVAL_TIMEOUT.multipliedBy(2));
        view.addRecordedVms(List.of(member("lost", 1, DC_NEAR)), START);
        view.removeExpired(lostAt);

        view.addRecordedVms(List.of(member("lost", 1, DC_NEAR)), lostAt.plus(FleetView.LOST_RETENTION));
        assertThat(view.names()).isEmpty();
        view.addRecordedVms(List.of(member("lost", 2, DC_NEAR)), lostAt.plus(FleetView.LOST_RETENTION));
        assertThat(view.names()).containsExactly(new VmName("lost"));
    }

    @Test
    void smallFleetReceivesReportsDirectly() {
        for (int i = 0; i < 10; i++) {
            view.applyReport(member("near-" + i, 1, DC_NEAR), 1, true, START);
            view.applyReport(member("far-" + i, 1, DC_FAR), 1, true, START);
        }

        ReportRecipients a = view.recipients(member("self", 1, DC_NEAR), 1, START);

        assertThat(a.direct()).hasSize(20);
        assertThat(a.relays()).isEmpty();
        assertThat(a.usesRelays()).isFalse();
    }

    @Test
    void largeFleetReceivesReportsThroughRotatingRelays() {
        for (int i = 0; i < 30; i++) {
            view.applyReport(member("near-" + i, 1, DC_NEAR), 1, true, START);
            view.applyReport(member("far-" + i, 1, DC_FAR), 1, true, START);
        }

        Set<FleetMember> relays = new HashSet<>();
        for (int sequence = 1; sequence <= 30; sequence++) {
            ReportRecipients a = view.recipients(member("self", 1, DC_NEAR), sequence, START);
            assertThat(a.direct()).hasSize(30);
            assertThat(a.relays()).hasSize(1);
            assertThat(a.usesRelays()).isTrue();
            relays.addAll(a.relays());
        }
        assertThat(relays).hasSize(30);
    }

    @Test
    void silentVmIsNotUsedAsRelay() {
        for (int i = 0; i < 40; i++) {
            view.applyReport(member("far-" + i, 1, DC_FAR), 1, true, START);
        }
        MonotonicTime later = START.plus(FleetView.SILENCE_TIMEOUT.multipliedBy(2));
        view.applyReport(member("far-7", 1, DC_FAR), 2, true, later);

        for (int sequence = 1; sequence <= 3; sequence++) {
            assertThat(view.recipients(member("self", 1, DC_NEAR), sequence, later)
                            .relays())
                    .containsExactly(member("far-7", 1, DC_FAR));
        }
    }

    private void addVm(String name, Optional<Boolean> reachesServers) {
        view.applyReport(member(name, 1, DC_NEAR), 1, true, START);
        view.recordReach(new VmName(name), reachesServers);
    }

    @Test
    void callersDoNotUseTheFewVmsThatAreCutOff() {
        addVm("a", Optional.of(true));
        addVm("b", Optional.of(true));
        addVm("c", Optional.of(false));

        assertThat(vmsForCaller(START)).extracting(m -> m.vm().value()).containsExactlyInAnyOrder("a", "b");
    }

    /** Guards against sending the callers of a region to its only VM that reaches servers. */
    @Test
    void callersUseAllVmsIfMostAreCutOff() {
        addVm("a", Optional.of(true));
        addVm("b", Optional.of(false));
        addVm("c", Optional.of(false));

        assertThat(vmsForCaller(START)).hasSize(3);
    }

    @Test
    void localVmThatIsCutOffIsNotReturnedToCallers() {
        FleetMember self = member("self", 1, DC_NEAR);
        addVm("a", Optional.of(true));
        addVm("b", Optional.of(true));
        view.recordLocalReach(false);

        assertThat(view.vmsForCaller(Optional.of(self), Optional.of(NEAR), Set.of(), START))
                .doesNotContain(self);
    }

    @Test
    void requestsAreRelayedOnlyByVmsThatReachServersAndSaySo() {
        addVm("a", Optional.of(true));
        addVm("b", Optional.of(false));
        addVm("earlier-version", Optional.empty());

        assertThat(view.relays(START)).extracting(m -> m.vm().value()).containsExactly("a");
        assertThat(view.relays(START.plus(FleetView.SILENCE_TIMEOUT.multipliedBy(2))))
                .isEmpty();
    }
}
