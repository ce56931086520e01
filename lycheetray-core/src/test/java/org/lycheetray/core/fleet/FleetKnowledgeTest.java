package org.lycheetray.core.fleet;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.lycheetray.core.model.DataCentreName;
import org.lycheetray.core.model.Endpoint;
import org.lycheetray.core.model.RegionName;
import org.lycheetray.core.model.VmName;
import org.lycheetray.core.time.MonotonicTime;

class FleetKnowledgeTest {
    private static final MonotonicTime START = MonotonicTime.ZERO;
    private static final DataCentreName DC = new DataCentreName("dc");
    private static final Endpoint ENDPOINT = new Endpoint("127.0.0.1", 1000);

    private final FleetView view = new FleetView(new VmName("self"), Map.of(DC, new RegionName("region")));

    private static FleetMember member(String name) {
        return new FleetMember(new VmName(name), 1, DC, ENDPOINT, ENDPOINT);
    }

    private void readAll(String... names) {
        List<FleetMember> records = new ArrayList<>();
        for (String n : names) {
            records.add(member(n));
        }
        view.addRecordedVms(records, START);
        view.recordAllRead();
    }

    private void report(String name, long sequence, boolean serving, MonotonicTime at) {
        view.applyReport(member(name), sequence, serving, at);
    }

    @Test
    void vmThatHasReadNothingSpendsNothing() {
        FleetKnowledge k = view.knowledge(START);

        assertThat(k).isInstanceOf(FleetKnowledge.NotKnown.class);
        assertThat(k.spendablePart()).isZero();
        assertThat(k.heldPart()).isLessThan(0.1);
    }

    @Test
    void vmThatIsAloneHasTheWholeLimit() {
        readAll();

        assertThat(view.knowledge(START).spendablePart()).isEqualTo(1);
    }

    @Test
    void newVmSpendsNothingUntilAllOthersHaveReported() {
        readAll("a", "b");
        report("a", 1, true, START);
        assertThat(view.knowledge(START)).isInstanceOf(FleetKnowledge.Joining.class);
        assertThat(view.knowledge(START).spendablePart()).isZero();

        report("b", 1, true, START);

        assertThat(view.knowledge(START)).isInstanceOf(FleetKnowledge.Known.class);
        assertThat(view.knowledge(START).spendablePart()).isEqualTo(1.0 / 3);
    }

    @Test
    void restartedVmSpendsNothingUntilAllOthersHaveReported() {
        readAll("self", "a", "cut-off");
        report("a", 1, true, START);

        assertThat(view.knowledge(START).spendablePart()).isZero();
    }

    @Test
    void vmThatHearsNoMajoritySpendsNothingAndKeepsWhatItHolds() {
        readAll("a", "b");
        report("a", 1, true, START);
        report("b", 1, true, START);
        assertThat(view.knowledge(START)).isInstanceOf(FleetKnowledge.Known.class);

        FleetKnowledge k = view.knowledge(START.plus(FleetView.TOUCH_TIMEOUT.multipliedBy(2)));

        assertThat(k).isInstanceOf(FleetKnowledge.OutOfTouch.class);
        assertThat(k.spendablePart()).isZero();
        assertThat(k.heldPart()).isEqualTo(1.0 / 3);
    }

    @Test
    void silentVmsCountForTheLimitsUntilTheyLeaveAsPlanned() {
        readAll("left", "lost", "a");
        report("left", 1, true, START);
        report("left", 2, false, START);
        report("lost", 1, true, START);
        MonotonicTime later = START.plus(FleetView.REMOVAL_TIMEOUT.multipliedBy(3));
        report("a", 1, true, later);

        view.removeExpired(later);

        assertThat(view.names()).containsExactly(new VmName("a"));
        assertThat(view.sharers()).containsOnlyKeys(new VmName("a"), new VmName("lost"));
        assertThat(view.knowledge(later).vms()).isEqualTo(3);
    }

    @Test
    void vmThatIsLostBeforeItServesHasNotLeft() {
        readAll("starting");
        report("starting", 1, false, START);

        MonotonicTime later = START.plus(Duration.ofSeconds(3));
        view.removeExpired(later);

        assertThat(view.knowledge(later).vms()).isEqualTo(2);
    }
}
