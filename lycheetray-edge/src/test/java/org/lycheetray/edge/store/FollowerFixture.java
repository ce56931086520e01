package org.lycheetray.edge.store;

import io.netty.channel.embedded.EmbeddedChannel;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import org.lycheetray.core.model.BackendServerName;
import org.lycheetray.core.model.DataCentreName;
import org.lycheetray.core.model.Endpoint;
import org.lycheetray.core.model.ServiceName;
import org.lycheetray.core.registry.RegisteredServer;
import org.lycheetray.edge.EdgeSettingsFixture;
import org.lycheetray.edge.exchange.TrafficSteering;

/** Runs a follower on a {@link RestorableStore} in steps of time. */
final class FollowerFixture implements AutoCloseable {
    static final Duration STEP = Duration.ofMillis(50);
    static final DataCentreName DC = new DataCentreName("dc");

    private final EmbeddedChannel channel = new EmbeddedChannel();
    private final ManualClock clock = new ManualClock();
    private final RestorableStore store = new RestorableStore(clock);
    private final TrafficSteering steering = new TrafficSteering(
            EdgeSettingsFixture.vm("vm", "dc", Map.of("dc", "region")), clock, new SplittableRandom(1));
    private final StoreFollower follower =
            new StoreFollower(store, steering, channel.eventLoop(), clock, new SplittableRandom(1));

    RestorableStore store() {
        return store;
    }

    TrafficSteering steering() {
        return steering;
    }

    StoreFollower follower() {
        return follower;
    }

    /** Starts the follower and lets it read what was written so far. */
    void start() {
        channel.freezeTime();
        follower.start(() -> {});
        advance(Duration.ofSeconds(1));
    }

    void advance(Duration time) {
        for (Duration d = Duration.ZERO; d.compareTo(time) < 0; d = d.plus(STEP)) {
            clock.now = clock.now.plus(STEP);
            channel.advanceTimeBy(STEP.toNanos(), TimeUnit.NANOSECONDS);
            channel.runPendingTasks();
            store.answerPolls();
            steering.removeExpiredServers();
        }
    }

    List<String> serverNames() {
        return steering.servers().stream().map(s -> s.name().value()).toList();
    }

    /** Returns the record of a server's entry. */
    static StoreRecord server(String name, boolean draining, long sequence) {
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

    /** Returns the record of the removal of a server's entry. */
    static StoreRecord gone(String name) {
        return new StoreRecord.ServerGone(new BackendServerName(name));
    }

    @Override
    public void close() {
        follower.stop();
        var _ = channel.close();
    }
}
