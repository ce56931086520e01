package org.lycheetray.core.config;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.lycheetray.core.model.ClientAccount;
import org.lycheetray.core.model.Incarnation;
import org.lycheetray.core.model.KeyHash;
import org.lycheetray.core.model.Rate;
import org.lycheetray.core.model.RouteClass;
import org.lycheetray.core.time.MonotonicTime;

class ConfigTrackerTest {
    private static final Duration LIMIT = Duration.ofSeconds(10);

    private final LoadedConfig first = config(1, List.of(TestManifests.key(1), TestManifests.key(2)), 100);
    private final LoadedConfig second = config(2, List.of(TestManifests.key(2), TestManifests.key(3)), 50);
    private final ConfigTracker tracker =
            new ConfigTracker(new Incarnation(TestManifests.vm(0, 0), 1), TestManifests.dataCentre(0));

    @Test
    void acceptsNoKeyAfterStart() {
        assertThat(keyAcceptance(at(0))).isEqualTo(KeyAcceptance.NONE);
    }

    @Test
    void pendingVersionWithdrawsKeysAndLowersRatesAtOnce() {
        accept(first, 0);
        read(second, first, 1);
        load(second, 1);
        ClientAccount shop = account();
        assertThat(shop.keyHashes()).containsExactly(TestManifests.key(2));
        assertThat(shop.rate()).isEqualTo(new Rate(50, 50));
    }

    @Test
    void acceptedVersionAddsKeys() {
        accept(first, 0);
        read(second, first, 1);
        load(second, 1);
        read(second, second, 2);
        assertThat(account().keyHashes()).contains(TestManifests.key(3));
    }

    @Test
    void ignoresOlderVersion() {
        accept(second, 0);
        read(first, first, 1);
        load(first, 1);
        assertThat(tracker.effective().orElseThrow().accepted()).isEqualTo(second.ref());
    }

    @Test
    void isolatedVmRefusesOnceRoutesFirstThenAllKeys() {
        accept(first, 0);
        assertThat(keyAcceptance(at(2))).isEqualTo(KeyAcceptance.ALL);
        assertThat(keyAcceptance(at(5)).permits(RouteClass.READ)).isTrue();
        assertThat(keyAcceptance(at(5)).permits(RouteClass.ONCE)).isFalse();
        assertThat(keyAcceptance(at(14))).isEqualTo(KeyAcceptance.NONE);
    }

    @Test
    void readOfUnloadedVersionIsNoEvidence() {
        accept(first, 0);
        read(second, second, 10);
        assertThat(tracker.confirmedAt()).contains(at(0));
        load(second, 11);
        assertThat(tracker.confirmedAt()).contains(at(10));
    }

    @Test
    void votesOnlyWithVersionReadAfterRegistration() {
        accept(first, 0);
        tracker.handle(new ConfigEvent.Registered(at(5)), at(5));
        read(second, first, 4);
        assertThat(tracker.localState(at(6)).isVoter()).isFalse();
        read(second, first, 6);
        assertThat(tracker.localState(at(7)).isVoter()).isFalse();
        load(second, 8);
        assertThat(tracker.localState(at(8)).isVoter()).isTrue();
    }

    @Test
    void majorityOfDataCentresIsEvidence() {
        accept(first, 0);
        receiveVote(1, first, 20);
        assertThat(tracker.confirmedAt()).contains(at(0));
        receiveVote(2, first, 21);
        assertThat(tracker.confirmedAt()).contains(at(20));
    }

    @Test
    void voterWithNewerVersionIsNoEvidenceUntilLoaded() {
        accept(first, 0);
        receiveVote(1, first, 20);
        receiveVote(2, second, 20);
        assertThat(tracker.confirmedAt()).contains(at(0));
        load(second, 21);
        assertThat(tracker.confirmedAt()).contains(at(20));
    }

    @Test
    void datesPeerEvidenceFromSendingOfProbe() {
        accept(first, 0);
        PeerConfigState state = state(
                1,
                first,
                false,
                Optional.of(
                        new FreshnessEvidence(Duration.ofSeconds(2), first.ref().version())));
        tracker.handle(new ConfigEvent.ProbeAnswered(state, at(30)), at(31));
        assertThat(tracker.confirmedAt()).contains(at(28));
    }

    private void accept(LoadedConfig c, long second) {
        read(c, c, second);
        load(c, second);
    }

    private void read(LoadedConfig current, LoadedConfig accepted, long second) {
        ConfigHead head = new ConfigHead(current.ref(), new Submission("s", "op", Instant.EPOCH), accepted.ref());
        tracker.handle(new ConfigEvent.HeadRead(head, at(second)), at(second));
    }

    private void load(LoadedConfig c, long second) {
        tracker.handle(new ConfigEvent.ManifestLoaded(c.ref(), c.manifest()), at(second));
    }

    private void receiveVote(int dataCentre, LoadedConfig accepted, long second) {
        PeerConfigState state = state(dataCentre, accepted, true, Optional.empty());
        tracker.handle(new ConfigEvent.ProbeAnswered(state, at(second)), at(second));
    }

    private PeerConfigState state(int dataCentre, LoadedConfig accepted, boolean voter, Optional<FreshnessEvidence> c) {
        return new PeerConfigState(
                new Incarnation(TestManifests.vm(dataCentre, 0), 1),
                TestManifests.dataCentre(dataCentre),
                Optional.of(accepted.ref()),
                Optional.empty(),
                c,
                voter,
                tracker.localState(at(0)).dataCentresFingerprint());
    }

    private ClientAccount account() {
        return tracker.effective().orElseThrow().manifest().clientAccounts().getFirst();
    }

    private KeyAcceptance keyAcceptance(MonotonicTime now) {
        return ConfigTracker.keyAcceptance(tracker.confirmedAt(), LIMIT, now);
    }

    private static MonotonicTime at(long second) {
        return MonotonicTime.ZERO.plus(Duration.ofSeconds(second));
    }

    private static LoadedConfig config(long version, List<KeyHash> keys, long rate) {
        return TestManifests.loaded(
                version, TestManifests.manifest(TestManifests.vms(3, 1), keys, new Rate(rate, rate)));
    }
}
