package org.lycheetray.edge.store;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.channel.embedded.EmbeddedChannel;
import java.time.Duration;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.lycheetray.core.model.BackendServerName;
import org.lycheetray.core.model.ConfigVersion;
import org.lycheetray.core.model.DataCentreName;
import org.lycheetray.core.model.Endpoint;
import org.lycheetray.core.model.ServiceName;
import org.lycheetray.core.registry.RegisteredServer;
import org.lycheetray.core.time.MonotonicTime;
import org.lycheetray.core.traffic.ClientLimits;
import org.lycheetray.core.traffic.TrafficConfig;
import org.lycheetray.edge.EdgeSettingsFixture;
import org.lycheetray.edge.exchange.TrafficSteering;
import reactor.core.publisher.Mono;
import reactor.core.publisher.MonoSink;

/** Guards against decisions on outdated records after the store came back from an older copy. */
class StoreRestoreTest {
    private static final Duration STEP = Duration.ofMillis(50);
    private static final DataCentreName DC = new DataCentreName("dc");

    private final EmbeddedChannel channel = new EmbeddedChannel();
    private final ManualClock clock = new ManualClock();
    private final RestorableStore store = new RestorableStore();
    private final TrafficSteering steering = new TrafficSteering(
            EdgeSettingsFixture.vm("vm", "dc", Map.of("dc", "region")), clock, new SplittableRandom(1));
    private final StoreFollower follower =
            new StoreFollower(store, steering, channel.eventLoop(), clock, new SplittableRandom(1));

    @BeforeEach
    void start() {
        channel.freezeTime();
        store.write(Topic.OPERATOR, config(1));
        store.write(Topic.SERVERS, server("s0", false, 1));
        store.write(Topic.SERVERS, server("s1", false, 1));
        follower.start(() -> {});
        advance(Duration.ofSeconds(1));
    }

    @AfterEach
    void stop() {
        follower.stop();
        var _ = channel.close();
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
        int calls = store.calls;

        for (int i = 0; i < 40; i++) {
            follower.recordPeerServersVersion(1, 1_000);
            advance(STEP);
        }

        assertThat(store.calls - calls).isLessThanOrEqualTo(Topic.values().length);
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
        store.write(Topic.SERVERS, new StoreRecord.ServerGone(new BackendServerName("s0")));
        advance(Duration.ofSeconds(1));

        store.restoreTo(3, () -> {});
        advance(Duration.ofSeconds(4));

        assertThat(names()).containsExactly("s1");
    }

    @Test
    void serverThatIsStillListedAfterItsEntryWouldHaveExpiredIsUsedAgain() {
        store.write(Topic.SERVERS, new StoreRecord.ServerGone(new BackendServerName("s0")));
        advance(Duration.ofSeconds(1));

        store.restoreTo(3, () -> {});
        advance(Duration.ofSeconds(8));

        assertThat(names()).containsExactlyInAnyOrder("s0", "s1");
    }

    @Test
    void serverThatJoinedInTheLostSecondsIsKeptUntilItRegistersAgain() {
        store.write(Topic.SERVERS, server("s2", false, 1));
        advance(Duration.ofSeconds(1));

        store.restoreTo(3, () -> {});
        advance(Duration.ofSeconds(1));
        store.write(Topic.SERVERS, server("s2", false, 1));
        advance(Duration.ofSeconds(8));

        assertThat(names()).contains("s2");
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

    private List<String> names() {
        return steering.servers().stream().map(s -> s.name().value()).toList();
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
        store.era = 1;
        store.write(Topic.OPERATOR, config(7));
        advance(Duration.ofSeconds(1));

        assertThat(steering.version()).isEqualTo(new ConfigVersion(1));
    }

    private void advance(Duration time) {
        for (Duration d = Duration.ZERO; d.compareTo(time) < 0; d = d.plus(STEP)) {
            clock.now = clock.now.plus(STEP);
            channel.advanceTimeBy(STEP.toNanos(), TimeUnit.NANOSECONDS);
            channel.runPendingTasks();
            store.answerPolls();
            steering.removeExpiredServers();
        }
    }

    private static StoreRecord config(long version) {
        return new StoreRecord.Config(new TrafficConfig(
                new ConfigVersion(version), List.of(), List.of(), ClientLimits.INITIAL, Optional.empty()));
    }

    private static StoreRecord server(String name, boolean draining, long sequence) {
        return new StoreRecord.Server(new RegisteredServer(
                new BackendServerName(name),
                1,
                sequence,
                new ServiceName("svc"),
                new Endpoint("127.0.0.1", 1),
                DC,
                3,
                draining,
                Duration.ZERO));
    }

    /** A long poll that the store holds. */
    private record Poll(long after, MonotonicTime end, MonoSink<RecordBatch> sink) {}

    /** A record and the version under which it was written. */
    private record Written(Topic topic, long version, StoreRecord record) {}

    /** Store that keeps all its changes and can be restored to an earlier version. */
    private final class RestorableStore implements ReadOnlyFleetStore {
        private final List<Written> log = new ArrayList<>();
        private final Map<Topic, Poll> polls = new EnumMap<>(Topic.class);
        private long version;
        private long era = 1;
        private int calls;

        void write(Topic topic, StoreRecord r) {
            log.add(new Written(topic, ++version, r));
        }

        /** Loses all later changes, fails the held calls, and runs the given writes before it answers again. */
        void restoreTo(long earlier, Runnable writes) {
            log.removeIf(w -> w.version > earlier);
            version = earlier;
            era++;
            writes.run();
            List<Poll> held = List.copyOf(polls.values());
            polls.clear();
            held.forEach(p -> p.sink.error(new StoreException(StoreException.Kind.UNKNOWN, "read", "reset")));
        }

        /** Never answers the held call of a topic. */
        void loseCall(Topic topic) {
            polls.remove(topic);
        }

        /** Loses all later changes, and never answers the held calls. */
        void restoreSilentlyTo(long earlier) {
            polls.clear();
            log.removeIf(w -> w.version > earlier);
            version = earlier;
            era++;
        }

        void answerPolls() {
            for (Topic t : Topic.values()) {
                Poll p = polls.get(t);
                if (p == null) {
                    continue;
                }
                List<StoreRecord> changes = after(t, p.after);
                if (!changes.isEmpty() || !clock.now.isBefore(p.end)) {
                    polls.remove(t);
                    p.sink.success(new RecordBatch(changes, version, changes.isEmpty() ? 0 : version, era));
                }
            }
        }

        private List<StoreRecord> after(Topic topic, long from) {
            return log.stream()
                    .filter(w -> w.topic == topic && w.version > from)
                    .map(Written::record)
                    .toList();
        }

        @Override
        public Mono<RecordBatch> readAll(Topic topic) {
            return Mono.fromSupplier(() -> {
                calls++;
                return new RecordBatch(after(topic, 0), version, version, era);
            });
        }

        @Override
        public Mono<RecordBatch> awaitChanges(Topic topic, long after, Duration wait) {
            return Mono.create(sink -> {
                calls++;
                if (after > version) {
                    sink.error(new StoreException(StoreException.Kind.HISTORY_LOST, "read", "410"));
                } else {
                    polls.put(topic, new Poll(after, clock.now.plus(wait), sink));
                }
            });
        }
    }
}
