package org.lycheetray.core.membership;

import static org.assertj.core.api.Assertions.assertThat;
import static org.lycheetray.core.membership.FakeFleet.dataCentre;
import static org.lycheetray.core.membership.FakeFleet.vm;

import java.time.Duration;
import java.util.List;
import java.util.Set;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Test;
import org.lycheetray.core.model.Incarnation;
import org.lycheetray.core.model.VmName;

class MembershipTest {
    private static final Duration SETTLING_TIME = Duration.ofSeconds(8);

    @Test
    void everyVmDiscoversAllOthers() {
        FakeFleet fleet = new FakeFleet(3, 2, 2);
        fleet.run(SETTLING_TIME);
        assertAllAgree(fleet, MemberState.LIVE);
    }

    @Test
    void silentVmIsSuspectBeforeItIsDead() {
        FakeFleet fleet = new FakeFleet(1, 1, 2);
        fleet.run(SETTLING_TIME);
        fleet.silentVms.add(vm(0, 0, 1));
        fleet.run(Duration.ofSeconds(1));
        assertThat(fleet.membershipOf(0, 0, 0).state(vm(0, 0, 1))).isEqualTo(MemberState.SUSPECT);
        fleet.run(Duration.ofSeconds(1));
        assertThat(fleet.membershipOf(0, 0, 0).state(vm(0, 0, 1))).isEqualTo(MemberState.DEAD);
    }

    @Test
    void silentVmThatIsNotListedIsDead() {
        FakeFleet fleet = new FakeFleet(1, 1, 2);
        fleet.run(SETTLING_TIME);
        fleet.membershipOf(0, 0, 0).updateVmList(Set.of(vm(0, 0, 0)), Set.of());
        assertThat(fleet.membershipOf(0, 0, 0).state(vm(0, 0, 1))).isEqualTo(MemberState.LIVE);
        fleet.silentVms.add(vm(0, 0, 1));
        fleet.run(Duration.ofMillis(900));
        assertThat(fleet.membershipOf(0, 0, 0).isConfirmedGone(vm(0, 0, 1))).isTrue();
    }

    @Test
    void heartbeatOfAnEarlierIncarnationIsIgnored() {
        FakeFleet fleet = new FakeFleet(1, 1, 2);
        fleet.start(vm(0, 0, 1), 50);
        fleet.run(SETTLING_TIME);
        Heartbeat old = new Heartbeat(new Incarnation(vm(0, 0, 1), 2), true, Heartbeat.NO_LEAD, 0, Set.of());
        fleet.membershipOf(0, 0, 0).heartbeatReceived(old, fleet.now);
        assertThat(fleet.membershipOf(0, 0, 0).members(dataCentre(0, 0)))
                .contains(new Member(new Incarnation(vm(0, 0, 1), 50), MemberState.LIVE));
    }

    @Test
    void leavingStateReachesAllVms() {
        FakeFleet fleet = new FakeFleet(2, 2, 2);
        fleet.run(SETTLING_TIME);
        fleet.membershipOf(1, 1, 1).startLeaving();
        fleet.run(Duration.ofSeconds(2));
        fleet.running.values().forEach(m -> assertThat(m.state(vm(1, 1, 1))).isEqualTo(MemberState.LEAVING));
    }

    @Test
    void oldestIncarnationLeadsAndRestartChangesTheLeadOnce() {
        FakeFleet fleet = new FakeFleet(1, 1, 3);
        fleet.run(SETTLING_TIME);
        assertThat(leadAt(fleet, 2)).isEqualTo(vm(0, 0, 0));
        fleet.start(vm(0, 0, 0), 90);
        fleet.run(SETTLING_TIME);
        assertThat(List.of(leadAt(fleet, 0), leadAt(fleet, 1), leadAt(fleet, 2)))
                .containsOnly(vm(0, 0, 1));
    }

    private static VmName leadAt(FakeFleet fleet, int vm) {
        return fleet.membershipOf(0, 0, vm).leadCandidate().orElseThrow().vm();
    }

    @Test
    void messagesPerVmDoNotGrowWithTheFleet() {
        FakeFleet small = new FakeFleet(2, 2, 4);
        FakeFleet large = new FakeFleet(8, 4, 4);
        small.run(Duration.ofSeconds(20));
        large.run(Duration.ofSeconds(20));
        double perVmSmall = (double) small.messages / small.running.size();
        double perVmLarge = (double) large.messages / large.running.size();
        assertThat(perVmLarge).isLessThan(2 * perVmSmall);
    }

    @Property(seed = "604", tries = 40)
    void fleetConvergesAfterAnyPartitionHeals(
            @ForAll @Size(max = 6) List<@IntRange(min = 0, max = 35) Integer> pairs,
            @ForAll @IntRange(max = 5) int lost) {
        FakeFleet fleet = new FakeFleet(3, 2, 2);
        fleet.run(SETTLING_TIME);
        for (int p : pairs) {
            var a = dataCentre(p / 6 / 2, p / 6 % 2);
            var b = dataCentre(p % 6 / 2, p % 6 % 2);
            if (!a.equals(b)) {
                fleet.partitions.add(Set.of(a, b));
            }
        }
        fleet.silentVms.add(vm(lost / 2, lost % 2, 0));
        fleet.run(SETTLING_TIME);
        fleet.partitions.clear();
        fleet.silentVms.clear();
        fleet.run(SETTLING_TIME.multipliedBy(2));
        assertAllAgree(fleet, MemberState.LIVE);
    }

    @Test
    void partitionedDataCentreIsSuspectRemotelyAndLiveLocally() {
        FakeFleet fleet = new FakeFleet(2, 1, 2);
        fleet.run(SETTLING_TIME);
        fleet.partitions.add(Set.of(dataCentre(0, 0), dataCentre(1, 0)));
        fleet.run(SETTLING_TIME);
        assertThat(fleet.membershipOf(0, 0, 1).state(vm(1, 0, 1))).isEqualTo(MemberState.SUSPECT);
        assertThat(fleet.membershipOf(1, 0, 0).state(vm(1, 0, 1))).isEqualTo(MemberState.LIVE);
    }

    private static void assertAllAgree(FakeFleet fleet, MemberState expected) {
        for (Membership m : fleet.running.values()) {
            for (VmName v : fleet.running.keySet()) {
                assertThat(m.state(v)).as("%s at %s", v, m.localIncarnation()).isEqualTo(expected);
            }
        }
    }
}
