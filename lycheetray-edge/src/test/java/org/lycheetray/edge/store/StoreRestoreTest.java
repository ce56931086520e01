package org.lycheetray.edge.store;

import static org.assertj.core.api.Assertions.assertThat;
import static org.lycheetray.edge.store.FollowerFixture.DC;
import static org.lycheetray.edge.store.FollowerFixture.STEP;
import static org.lycheetray.edge.store.FollowerFixture.gone;
import static org.lycheetray.edge.store.FollowerFixture.server;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.lycheetray.core.model.ConfigVersion;
import org.lycheetray.core.registry.RegisteredServer;
import org.lycheetray.core.traffic.ClientLimits;
import org.lycheetray.core.traffic.TrafficConfig;
import org.lycheetray.edge.exchange.TrafficSteering;

/** Guards against decisions on outdated records after the store came back from an older copy. */
class StoreRestoreTest {
    private final FollowerFixture fixture = new FollowerFixture();
    private final RestorableStore store = fixture.store();
    private final TrafficSteering steering = fixture.steering();
    private final StoreFollower follower = fixture.follower();

    @BeforeEach
    void start() {
        store.write(Topic.OPERATOR, config(1));
        store.write(Topic.SERVERS, server("s0", false, 1));
        store.write(Topic.SERVERS, server("s1", false, 1));
        fixture.start();
    }

    @AfterEach
    void stop() {
        fixture.close();
    }

    private void advance(Duration time) {
        fixture.advance(time);
    }

    private static StoreRecord config(long version) {
        return new StoreRecord.Config(new TrafficConfig(
                new ConfigVersion(version), List.of(), List.of(), ClientLimits.INITIAL, Optional.empty()));
    }

    @Test
    void changesUnderVersionsGivenOutTwiceAreRead() {
        for (int i = 2; i < 10; i++) {
            store.write(Topic.SERVERS, server("s0", false, i));
        }
        advance(Duration.ofSeconds(6));

        store.restoreTo(3, () -> {
            store.write(Topic.OPERATOR, config(2));
            for (int i = 10; i < 20; i++) {
                store.write(Topic.SERVERS, server("s0", false, i));
            }
        });
        advance(Duration.ofSeconds(3));

        assertThat(steering.version()).isEqualTo(new ConfigVersion(2));
    }

    @Test
    void vmThatHasReadTheOlderEraDoesNotMakeCallsLookLost() {
        follower.recordPeerServersVersion(1, 1_000);
        store.restoreTo(2, () -> {});
        advance(Duration.ofSeconds(3));
        int calls = store.calls();

        for (int i = 0; i < 40; i++) {
            follower.recordPeerServersVersion(1, 1_000);
            advance(STEP);
        }

        assertThat(store.calls() - calls).isLessThanOrEqualTo(Topic.values().length);
    }

    @Test
    void drainingServerIsNotReadyAgain() {
        store.write(Topic.SERVERS, server("s0", true, 2));
        advance(Duration.ofSeconds(1));

        store.restoreTo(3, () -> {});
        advance(Duration.ofSeconds(2));

        assertThat(steering.servers())
                .filteredOn(s -> s.name().value().equals("s0"))
                .allMatch(RegisteredServer::draining);
    }

    @Test
    void serverThatHasLeftIsNotUsedAgain() {
        store.write(Topic.SERVERS, gone("s0"));
        advance(Duration.ofSeconds(1));

        store.restoreTo(3, () -> {});
        advance(Duration.ofSeconds(4));

        assertThat(fixture.serverNames()).containsExactly("s1");
    }

    @Test
    void serverThatIsStillListedAfterItsEntryWouldHaveExpiredIsUsedAgain() {
        store.write(Topic.SERVERS, gone("s0"));
        advance(Duration.ofSeconds(1));

        store.restoreTo(3, () -> {});
        advance(Duration.ofSeconds(8));

        assertThat(fixture.serverNames()).containsExactlyInAnyOrder("s0", "s1");
    }

    @Test
    void serverThatJoinedInTheLostSecondsIsKeptUntilItRegistersAgain() {
        store.write(Topic.SERVERS, server("s2", false, 1));
        advance(Duration.ofSeconds(1));

        store.restoreTo(3, () -> {});
        advance(Duration.ofSeconds(1));
        store.write(Topic.SERVERS, server("s2", false, 1));
        advance(Duration.ofSeconds(8));

        assertThat(fixture.serverNames()).contains("s2");
    }

    @Test
    void evacuationThatIsMissingFromTheCopyStaysInForceUntilItIsWrittenAgain() {
        store.write(Topic.OPERATOR, new StoreRecord.EvacuateDataCentre(DC));
        advance(Duration.ofSeconds(1));

        store.restoreTo(3, () -> {});
        advance(Duration.ofSeconds(4));
        assertThat(steering.evacuatedDataCentres()).containsExactly(DC);

        store.write(Topic.OPERATOR, new StoreRecord.EvacuateDataCentre(DC));
        advance(Duration.ofSeconds(8));
        assertThat(steering.evacuatedDataCentres()).containsExactly(DC);
    }

    @Test
    void evacuationThatNobodyWritesAgainEnds() {
        store.write(Topic.OPERATOR, new StoreRecord.EvacuateDataCentre(DC));
        advance(Duration.ofSeconds(1));

        store.restoreTo(3, () -> {});
        advance(Duration.ofSeconds(8));

        assertThat(steering.evacuatedDataCentres()).isEmpty();
    }

    @Test
    void vmIsBehindOthersThatHaveSeenTheRestore() {
        store.restoreSilentlyTo(2);

        for (int i = 0; i < 20; i++) {
            follower.recordPeerServersVersion(2, 0);
            advance(STEP);
        }

        assertThat(follower.era()).hasValue(2);
    }

    @Test
    void restoreThatOneTopicShowsIsReadAtOnceForTheOtherTopicWhoseCallHangs() {
        store.restoreTo(3, () -> {
            store.loseCall(Topic.OPERATOR);
            store.write(Topic.OPERATOR, config(2));
        });
        advance(Duration.ofSeconds(1));

        assertThat(steering.version()).isEqualTo(new ConfigVersion(2));
    }

    @Test
    void responseOfTheEarlierEraIsNotTaken() {
        store.restoreTo(3, () -> {});
        advance(Duration.ofSeconds(1));
        store.setEra(1);
        store.write(Topic.OPERATOR, config(7));
        advance(Duration.ofSeconds(1));

        assertThat(steering.version()).isEqualTo(new ConfigVersion(1));
    }
}
