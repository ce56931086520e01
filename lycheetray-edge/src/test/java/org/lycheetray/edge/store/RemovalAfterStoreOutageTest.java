package org.lycheetray.edge.store;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.channel.embedded.EmbeddedChannel;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import java.util.stream.IntStream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;
import org.lycheetray.core.fleet.FleetMember;
import org.lycheetray.core.model.BackendServerName;
import org.lycheetray.core.model.DataCentreName;
import org.lycheetray.core.model.Endpoint;
import org.lycheetray.core.model.ServiceName;
import org.lycheetray.core.model.VmName;
import org.lycheetray.core.registry.RegisteredServer;
import org.lycheetray.core.time.Clock;
import org.lycheetray.core.time.MonotonicTime;
import org.lycheetray.edge.EdgeSettingsFixture;
import org.lycheetray.edge.exchange.TrafficSteering;
import reactor.core.publisher.Mono;
import reactor.core.publisher.MonoSink;

/** Tests for how long a backend server without an entry is used after the store was unavailable. */
class RemovalAfterStoreOutageTest {
    private static final Duration STEP = Duration.ofMillis(50);
    private static final BackendServerName SERVER = new BackendServerName("s0");

    private final EmbeddedChannel channel = new EmbeddedChannel();
    private final SteppedClock clock = new SteppedClock();
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
    @Tag("known-red")
    void serverThatLeavesThreeSecondsAfterTheStoreReturnedReceivesNoMoreRequests() {
        refuseCallsFor(Duration.ofSeconds(9));
        advance(Duration.ofSeconds(3));

        store.removeEntry(SERVER);
        advance(STEP);

        assertThat(isUsed(SERVER)).isFalse();
    }

    @Test
    @Tag("known-red")
    void entryThatStaysMissingIsRemovedTwoSecondsAfterTheStoreReturned() {
        refuseCallsFor(Duration.ofSeconds(9));
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

    /** Refuses all calls of the store for a time, then waits until each topic has been read again. */
    private void refuseCallsFor(Duration time) {
        store.refuse(true);
        advance(time);
        store.refuse(false);
        while (!store.awaitsChanges()) {
            advance(STEP);
        }
    }

    private void advance(Duration time) {
        for (Duration d = Duration.ZERO; d.compareTo(time) < 0; d = d.plus(STEP)) {
            clock.now = clock.now.plus(STEP);
            channel.advanceTimeBy(STEP.toNanos(), TimeUnit.NANOSECONDS);
            channel.runPendingTasks();
            steering.removeExpiredServers();
        }
    }

    private boolean isUsed(BackendServerName server) {
        return steering.servers().stream().anyMatch(s -> s.name().equals(server));
    }

    private static final class SteppedClock implements Clock {
        private MonotonicTime now = MonotonicTime.ZERO;

        @Override
        public MonotonicTime monotonic() {
            return now;
        }

        @Override
        public Instant instant() {
            return Instant.EPOCH;
        }
    }

    /** Store with twelve backend servers, which refuses calls or holds them until the test changes an entry. */
    private static final class ScriptedStore implements FleetStore {
        private final Map<Topic, MonoSink<RecordBatch>> pending = new EnumMap<>(Topic.class);
        private long version = 1;
        private boolean refusing;

        void refuse(boolean on) {
            refusing = on;
            if (on) {
                List<MonoSink<RecordBatch>> calls = new ArrayList<>(pending.values());
                pending.clear();
                calls.forEach(c -> c.error(refusal()));
            }
        }

        boolean awaitsChanges() {
            return pending.size() == Topic.values().length;
        }

        void removeEntry(BackendServerName server) {
            publish(new StoreRecord.ServerGone(server));
        }

        void addEntry(BackendServerName server) {
            publish(entry(server));
        }

        private void publish(StoreRecord change) {
            version++;
            pending.remove(Topic.SERVERS).success(new RecordBatch(List.of(change), version, version));
        }

        private static StoreException refusal() {
            return new StoreException(StoreException.Kind.REFUSED, "read", "refused by the test");
        }

        private static StoreRecord.Server entry(BackendServerName server) {
            return new StoreRecord.Server(new RegisteredServer(
                    server,
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
            return Mono.just(new RecordBatch(entries, version, version));
        }

        @Override
        public Mono<RecordBatch> awaitChanges(Topic topic, long after, Duration wait) {
            return Mono.create(sink -> {
                if (refusing) {
                    sink.error(refusal());
                } else {
                    pending.put(topic, sink);
                }
            });
        }

        @Override
        public Mono<List<FleetMember>> readMembers() {
            return Mono.just(List.of());
        }

        @Override
        public Mono<Void> registerMember(FleetMember member) {
            return Mono.empty();
        }

        @Override
        public Mono<Void> removeMember(VmName vm) {
            return Mono.empty();
        }

        @Override
        public void close() {}
    }
}
