package org.lycheetray.edge.store;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.channel.embedded.EmbeddedChannel;
import java.time.Duration;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.EnumSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import java.util.stream.IntStream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.lycheetray.core.model.BackendServerName;
import org.lycheetray.core.model.DataCentreName;
import org.lycheetray.core.model.Endpoint;
import org.lycheetray.core.model.ServiceName;
import org.lycheetray.core.registry.RegisteredServer;
import org.lycheetray.core.time.MonotonicTime;
import org.lycheetray.edge.EdgeSettingsFixture;
import org.lycheetray.edge.exchange.TrafficSteering;
import reactor.core.publisher.Mono;
import reactor.core.publisher.MonoSink;

/** Tests for how long a backend server without an entry is used after the store was unavailable. */
class RemovalAfterStoreOutageTest {
    private static final Duration STEP = Duration.ofMillis(50);

    /** Time for which a server that leaves still accepts requests. */
    private static final Duration DRAIN_TIME = Duration.ofSeconds(2);

    /** Longest time from a change in the store until a VM that reaches it has read the change. */
    private static final Duration READING_DELAY = Duration.ofMillis(500);

    private static final BackendServerName SERVER = new BackendServerName("s0");

    private final EmbeddedChannel channel = new EmbeddedChannel();
    private final ManualClock clock = new ManualClock();
    private final ScriptedStore store = new ScriptedStore();
    private final TrafficSteering steering = new TrafficSteering(
            EdgeSettingsFixture.vm("vm", "dc", Map.of("dc", "region")), clock, new SplittableRandom(1));
    private final StoreFollower follower =
            new StoreFollower(store, steering, channel.eventLoop(), clock, new SplittableRandom(1));

    @BeforeEach
    void start() {
        channel.freezeTime();
        follower.start(() -> {});
        advance(Duration.ofSeconds(1));
    }

    @AfterEach
    void stop() {
        follower.stop();
        var _ = channel.close();
    }

    @Test
    void serverThatLeavesThreeSecondsAfterTheStoreReturnedReceivesNoRequestsTwoSecondsLater() {
        refuseCallsFor(Duration.ofSeconds(9));
        advance(Duration.ofSeconds(3));

        store.removeEntry(SERVER);
        advance(DRAIN_TIME);

        assertThat(isUsed(SERVER)).isFalse();
    }

    @Test
    void entryThatStaysMissingIsRemovedTwoSecondsAfterTheFirstAnswer() {
        refuseCallsFor(Duration.ofSeconds(9));
        while (!store.hasAnsweredEachTopic()) {
            advance(STEP);
        }
        advance(Duration.ofMillis(1_300));

        store.removeEntry(SERVER);
        advance(Duration.ofMillis(500));
        assertThat(isUsed(SERVER)).isTrue();

        advance(Duration.ofMillis(500));
        assertThat(isUsed(SERVER)).isFalse();
    }

    @Test
    void entryThatReappearsAfterTheStoreReturnedStaysInUse() {
        refuseCallsFor(Duration.ofSeconds(9));

        store.removeEntry(SERVER);
        advance(Duration.ofSeconds(1));
        store.addEntry(SERVER);
        advance(Duration.ofSeconds(5));

        assertThat(isUsed(SERVER)).isTrue();
    }

    @Test
    void manyServersThatLeaveTogetherReceiveNoRequestsTwoSecondsLater() {
        List<BackendServerName> leaving = IntStream.range(0, 4)
                .mapToObj(i -> new BackendServerName("s" + i))
                .toList();

        store.removeEntries(leaving);
        advance(DRAIN_TIME.minus(READING_DELAY));

        assertThat(leaving).noneMatch(this::isUsed);
    }

    private void refuseCallsFor(Duration time) {
        store.refuse(true);
        advance(time);
        store.refuse(false);
    }

    private void advance(Duration time) {
        for (Duration d = Duration.ZERO; d.compareTo(time) < 0; d = d.plus(STEP)) {
            clock.now = clock.now.plus(STEP);
            channel.advanceTimeBy(STEP.toNanos(), TimeUnit.NANOSECONDS);
            channel.runPendingTasks();
            store.answerExpiredPolls();
            steering.removeExpiredServers();
        }
    }

    private boolean isUsed(BackendServerName server) {
        return steering.servers().stream().anyMatch(s -> s.name().equals(server));
    }

    /** A long poll that the store holds. */
    private record Poll(long after, MonotonicTime end, MonoSink<RecordBatch> sink) {}

    /** Store with twelve backend servers, which refuses calls or holds them until the test changes an entry. */
    private final class ScriptedStore implements ReadOnlyFleetStore {
        private final Map<Topic, Poll> pending = new EnumMap<>(Topic.class);
        private final Set<Topic> answered = EnumSet.noneOf(Topic.class);
        private final List<StoreRecord> serverChanges = new ArrayList<>();
        private boolean refusing;

        void refuse(boolean on) {
            refusing = on;
            if (on) {
                List<Poll> calls = List.copyOf(pending.values());
                pending.clear();
                answered.clear();
                calls.forEach(c -> c.sink.error(refusal()));
            }
        }

        boolean hasAnsweredEachTopic() {
            return answered.size() == Topic.values().length;
        }

        void answerExpiredPolls() {
            for (Topic t : Topic.values()) {
                Poll poll = pending.get(t);
                if (poll != null && !clock.now.isBefore(poll.end)) {
                    answer(t, poll);
                }
            }
        }

        private void answer(Topic topic, Poll poll) {
            answered.add(topic);
            pending.remove(topic);
            List<StoreRecord> changes =
                    topic == Topic.SERVERS ? serverChanges.subList((int) poll.after, serverChanges.size()) : List.of();
            poll.sink.success(new RecordBatch(changes, version(), changes.isEmpty() ? 0 : version()));
        }

        private long version() {
            return serverChanges.size();
        }

        void removeEntry(BackendServerName server) {
            removeEntries(List.of(server));
        }

        void removeEntries(List<BackendServerName> servers) {
            publish(servers.stream()
                    .<StoreRecord>map(StoreRecord.ServerGone::new)
                    .toList());
        }

        void addEntry(BackendServerName server) {
            publish(List.of(entry(server)));
        }

        private void publish(List<StoreRecord> changes) {
            serverChanges.addAll(changes);
            Poll poll = pending.get(Topic.SERVERS);
            if (poll != null) {
                answer(Topic.SERVERS, poll);
            }
        }

        private StoreException refusal() {
            return new StoreException(StoreException.Kind.REFUSED, "read", "refused by the test");
        }

        private StoreRecord.Server entry(BackendServerName server) {
            return new StoreRecord.Server(new RegisteredServer(
                    server,
                    1,
                    1,
                    new ServiceName("svc"),
                    new Endpoint("127.0.0.1", 1),
                    new DataCentreName("dc"),
                    3,
                    false,
                    Duration.ZERO));
        }

        @Override
        public Mono<RecordBatch> readAll(Topic topic) {
            List<StoreRecord> entries = topic == Topic.OPERATOR
                    ? List.of()
                    : IntStream.range(0, 12)
                            .<StoreRecord>mapToObj(i -> entry(new BackendServerName("s" + i)))
                            .toList();
            return Mono.just(new RecordBatch(entries, version(), version()));
        }

        @Override
        public Mono<RecordBatch> awaitChanges(Topic topic, long after, Duration wait) {
            return Mono.create(sink -> {
                if (refusing) {
                    sink.error(refusal());
                    return;
                }
                Poll poll = new Poll(after, clock.now.plus(wait), sink);
                if (topic == Topic.SERVERS && after < version()) {
                    answer(topic, poll);
                } else {
                    pending.put(topic, poll);
                }
            });
        }
    }
}
