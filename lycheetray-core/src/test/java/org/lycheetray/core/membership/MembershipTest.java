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
    private static final Duration SETTLED = Duration.ofSeconds(8);

    @Test
    void everyVmLearnsOfEveryOther() {
        FakeFleet fleet = new FakeFleet(3, 2, 2);
        fleet.run(SETTLED);
        assertAllAgree(fleet, MemberState.LIVE);
    }

    @Test
    void silentVmIsDialledAgainBeforeItIsDead() {
        FakeFleet fleet = new FakeFleet(1, 1, 2);
        fleet.run(SETTLED);
        fleet.silent.add(vm(0, 0, 1));
        fleet.run(Duration.ofSeconds(1));
        assertThat(fleet.at(0, 0, 0).state(vm(0, 0, 1))).isEqualTo(MemberState.SUSPECT);
        fleet.run(Duration.ofSeconds(1));
        assertThat(fleet.at(0, 0, 0).state(vm(0, 0, 1))).isEqualTo(MemberState.DEAD);
    }

    @Test
    void suspectVmThatThePlatformDoesNotListIsDead() {
        FakeFleet fleet = new FakeFleet(1, 1, 2);
        fleet.run(SETTLED);
        fleet.at(0, 0, 0).platformListed(Set.of(vm(0, 0, 0)), Set.of());
        assertThat(fleet.at(0, 0, 0).state(vm(0, 0, 1))).isEqualTo(MemberState.LIVE);
        fleet.silent.add(vm(0, 0, 1));
        fleet.run(Duration.ofMillis(900));
        assertThat(fleet.at(0, 0, 0).isGone(vm(0, 0, 1))).isTrue();
    }

    @Test
    void heartbeatOfAnEarlierProcessIsIgnored() {
        FakeFleet fleet = new FakeFleet(1, 1, 2);
        fleet.start(vm(0, 0, 1), 50);
        fleet.run(SETTLED);
        Heartbeat old = new Heartbeat(new Incarnation(vm(0, 0, 1), 2), true, Heartbeat.NO_LEAD, 0, Set.of());
        fleet.at(0, 0, 0).heard(old, fleet.now);
        assertThat(fleet.at(0, 0, 0).members(dataCentre(0, 0)))
                .contains(new Member(new Incarnation(vm(0, 0, 1), 50), MemberState.LIVE));
    }

    @Test
    void leavingVmIsKnownEverywhere() {
        FakeFleet fleet = new FakeFleet(2, 2, 2);
        fleet.run(SETTLED);
        fleet.at(1, 1, 1).leave();
        fleet.run(Duration.ofSeconds(2));
        fleet.running.values().forEach(m -> assertThat(m.state(vm(1, 1, 1))).isEqualTo(MemberState.LEAVING));
    }

    @Test
    void longestLivedVmLeadsAndRestartMovesTheLeadOnce() {
        FakeFleet fleet = new FakeFleet(1, 1, 3);
        fleet.run(SETTLED);
        assertThat(leadAt(fleet, 2)).isEqualTo(vm(0, 0, 0));
        fleet.start(vm(0, 0, 0), 90);
        fleet.run(SETTLED);
        assertThat(List.of(leadAt(fleet, 0), leadAt(fleet, 1), leadAt(fleet, 2)))
                .containsOnly(vm(0, 0, 1));
    }

    private static VmName leadAt(FakeFleet fleet, int vm) {
        return fleet.at(0, 0, vm).leadCandidate().orElseThrow().vm();
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
    void anyCutIsNoticedAndHealed(
            @ForAll @Size(max = 6) List<@IntRange(min = 0, max = 35) Integer> pairs,
            @ForAll @IntRange(max = 5) int lost) {
        FakeFleet fleet = new FakeFleet(3, 2, 2);
        fleet.run(SETTLED);
        for (int p : pairs) {
            var a = dataCentre(p / 6 / 2, p / 6 % 2);
            var b = dataCentre(p % 6 / 2, p % 6 % 2);
            if (!a.equals(b)) {
                fleet.cuts.add(Set.of(a, b));
            }
        }
        fleet.silent.add(vm(lost / 2, lost % 2, 0));
        fleet.run(SETTLED);
        fleet.cuts.clear();
        fleet.silent.clear();
        fleet.run(SETTLED.multipliedBy(2));
        assertAllAgree(fleet, MemberState.LIVE);
    }

    @Test
    void cutOffDataCentreIsSuspectElsewhereAndLiveAtHome() {
        FakeFleet fleet = new FakeFleet(2, 1, 2);
        fleet.run(SETTLED);
        fleet.cuts.add(Set.of(dataCentre(0, 0), dataCentre(1, 0)));
        fleet.run(SETTLED);
        assertThat(fleet.at(0, 0, 1).state(vm(1, 0, 1))).isEqualTo(MemberState.SUSPECT);
        assertThat(fleet.at(1, 0, 0).state(vm(1, 0, 1))).isEqualTo(MemberState.LIVE);
    }

    private static void assertAllAgree(FakeFleet fleet, MemberState expected) {
        for (Membership m : fleet.running.values()) {
            for (VmName v : fleet.running.keySet()) {
                assertThat(m.state(v)).as("%s at %s", v, m.self()).isEqualTo(expected);
            }
        }
    }
}
