package org.lycheetray.core.config;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.time.Instant;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.lycheetray.core.model.DataCentreName;
import org.lycheetray.core.model.Incarnation;
import org.lycheetray.core.model.Rate;
import org.lycheetray.core.model.VmName;
import org.lycheetray.core.table.Row;
import org.lycheetray.core.table.RowChange;
import org.lycheetray.core.time.MonotonicTime;

class ConfigLeaderPlannerTest {
    private static final DataCentreName DC = TestManifests.dataCentre(0);
    private static final Incarnation LEADER = new Incarnation(TestManifests.vm(0, 0), 1);
    private static final Incarnation PEER = new Incarnation(TestManifests.vm(0, 1), 1);
    private static final Instant REGISTERED = Instant.parse("2026-12-04T10:00:00Z");

    private final LoadedConfig first = config(1, 100);
    private final LoadedConfig second = config(2, 50);
    private final ConfigHead head = new ConfigHead(second.ref(), new Submission("s", "op", Instant.EPOCH), first.ref());

    @Test
    void acknowledgesOnlyWhenEveryVoterHasLoaded() {
        assertThat(decide(List.of(), Optional.empty(), state(LEADER, second), state(PEER, first)))
                .isEmpty();
        assertThat(decide(List.of(), Optional.empty(), state(LEADER, second), state(PEER, second)))
                .singleElement()
                .satisfies(w -> assertThat(w.getFirst().key()).isEqualTo(ConfigRows.ackKey(DC)))
                .satisfies(w -> assertThat(w.getLast()).isInstanceOf(RowChange.Check.class));
    }

    @Test
    void ignoresAnswerOfEarlierIncarnation() {
        Incarnation earlier = new Incarnation(PEER.vm(), 0);
        assertThat(decide(List.of(), Optional.empty(), state(LEADER, second), state(earlier, second)))
                .isEmpty();
    }

    @Test
    void acceptsOnlyWithMajorityOfDataCentres() {
        assertThat(decide(List.of(ack(1)), Optional.empty())).isEmpty();
        assertThat(decide(List.of(ack(1), ack(2)), Optional.empty()))
                .singleElement()
                .satisfies(w -> assertThat(w.getFirst().key()).isEqualTo(ConfigRows.HEAD_KEY));
    }

    @Test
    void removesUnlistedVoterOnlyAfterMaxListLag() {
        Set<VmName> listed = Set.of(LEADER.vm());
        Instant late = REGISTERED.plus(ConfigLeaderPlanner.MAX_VM_LIST_LAG);
        assertThat(decide(List.of(), Optional.of(new ConfigTableSnapshot.Listing(late, listed))))
                .isEmpty();
        assertThat(decide(
                        List.of(),
                        Optional.of(new ConfigTableSnapshot.Listing(late.plus(Duration.ofMillis(1)), listed))))
                .singleElement()
                .satisfies(w -> assertThat(w.getFirst())
                        .isInstanceOfSatisfying(
                                RowChange.Put.class,
                                p -> assertThat(p.value())
                                        .contains(LEADER.vm().value())
                                        .doesNotContain(PEER.vm().value())));
    }

    private List<List<RowChange>> decide(
            List<Row> acks, Optional<ConfigTableSnapshot.Listing> listing, PeerConfigState... states) {
        VoterRow voters = VoterRow.EMPTY.withVoter(LEADER, REGISTERED).withVoter(PEER, REGISTERED);
        ConfigTableSnapshot table = new ConfigTableSnapshot(
                new Row(ConfigRows.HEAD_KEY, 9, ConfigRows.encode(head)),
                Optional.of(new Row(ConfigRows.votersKey(DC), 5, ConfigRows.encode(voters))),
                acks,
                listing);
        return ConfigLeaderPlanner.planWrites(DC, table, tracker(), Arrays.asList(states))
                .get();
    }

    private ConfigTracker tracker() {
        ConfigTracker tracker = new ConfigTracker(LEADER, DC);
        MonotonicTime now = MonotonicTime.ZERO;
        tracker.handle(new ConfigEvent.HeadRead(head, now), now);
        tracker.handle(new ConfigEvent.ManifestLoaded(first.ref(), first.manifest()), now);
        tracker.handle(new ConfigEvent.ManifestLoaded(second.ref(), second.manifest()), now);
        return tracker;
    }

    private Row ack(int dataCentre) {
        AckRow ack =
                new AckRow(TestManifests.dataCentre(dataCentre), second.ref().version());
        return new Row(ConfigRows.ackKey(ack.dataCentre()), 7, ConfigRows.encode(ack));
    }

    private PeerConfigState state(Incarnation i, LoadedConfig loaded) {
        return new PeerConfigState(i, DC, Optional.of(loaded.ref()), Optional.empty(), Optional.empty(), true, 0);
    }

    private static LoadedConfig config(long version, long rate) {
        return TestManifests.loaded(
                version, TestManifests.manifest(TestManifests.vms(3, 2), List.of(), new Rate(rate, rate)));
    }
}
