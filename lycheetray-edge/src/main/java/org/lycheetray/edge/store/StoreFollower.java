package org.lycheetray.edge.store;

import io.netty.channel.EventLoop;
import java.time.Duration;
import java.util.EnumMap;
import java.util.EnumSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.random.RandomGenerator;
import org.lycheetray.core.time.Clock;
import org.lycheetray.core.time.MonotonicTime;
import org.lycheetray.daemon.log.LogEvent;
import org.lycheetray.edge.exchange.Steering;
import reactor.core.publisher.Mono;

/**
 * Keeps what this VM believes in step with the store: reads everything once, then waits for changes.
 *
 * <p>While the store is away the VM goes on with what it knows. For the event loop.
 */
public final class StoreFollower {
    /** Longest time that the store holds a call without changes: long calls are few calls, which cost. */
    private static final Duration FEED_WAIT = Duration.ofSeconds(5);

    /** Pause after changes of backend servers, so that changes that come together take few calls. */
    private static final Duration SERVERS_PAUSE = Duration.ofMillis(400);

    /** Time beyond the wait after which a call is given up: a slow store's answer still arrives within it. */
    private static final Duration ANSWER_TIME = Duration.ofMillis(1_500);

    /** First pause after a failed call; it doubles with each further failure. */
    private static final Duration FIRST_PAUSE = Duration.ofMillis(150);

    /** Longest pause: a returning store must be noticed well within the time in which changes take effect. */
    private static final Duration LONGEST_PAUSE = Duration.ofSeconds(1);

    /** Time after a disturbance of the store in which missing entries may come back. */
    private static final Duration DOUBT = Duration.ofSeconds(4);

    private final FleetStore store;
    private final Steering steering;
    private final EventLoop loop;
    private final Clock clock;
    private final RandomGenerator random;
    private final Map<Topic, Long> versions = new EnumMap<>(Topic.class);
    private final Map<Topic, Integer> failures = new EnumMap<>(Topic.class);
    private final Set<Topic> lost = EnumSet.noneOf(Topic.class);
    private Optional<MonotonicTime> lastTrouble = Optional.empty();
    private boolean stopped;
    private Runnable onChange = () -> {};

    /**
     * Creates a follower; {@link #start} begins.
     *
     * @param store the store
     * @param steering takes what is read
     * @param loop the event loop
     * @param clock the clock
     * @param random spreads the calls of several VMs
     */
    public StoreFollower(FleetStore store, Steering steering, EventLoop loop, Clock clock, RandomGenerator random) {
        this.store = store;
        this.steering = steering;
        this.loop = loop;
        this.clock = clock;
        this.random = random;
    }

    /**
     * Begins to read.
     *
     * @param changed called after each change of belief
     */
    public void start(Runnable changed) {
        onChange = changed;
        for (Topic t : Topic.values()) {
            next(t);
        }
    }

    /** Ends reading. */
    public void stop() {
        stopped = true;
    }

    private void next(Topic topic) {
        if (stopped) {
            return;
        }
        Long version = versions.get(topic);
        Mono<Reading> call = version == null
                ? store.list(topic).timeout(ANSWER_TIME)
                : store.changes(topic, version, FEED_WAIT).timeout(FEED_WAIT.plus(ANSWER_TIME));
        call.subscribe(
                r -> loop.execute(() -> read(topic, version == null, r)), e -> loop.execute(() -> failed(topic, e)));
    }

    private void read(Topic topic, boolean whole, Reading reading) {
        if (stopped) {
            return;
        }
        failures.remove(topic);
        if (lost.remove(topic)) {
            LogEvent.of("store-regained")
                    .with("topic", topic)
                    .with("version", reading.version())
                    .info();
        }
        versions.put(topic, reading.version());
        try {
            take(topic, whole, reading);
        } catch (RuntimeException e) {
            LogEvent.of("reading-not-taken").with("topic", topic).with("cause", e).error();
        }
        if (topic == Topic.SERVERS && !reading.records().isEmpty()) {
            var _ = loop.schedule(() -> next(topic), SERVERS_PAUSE.toMillis(), TimeUnit.MILLISECONDS);
        } else {
            next(topic);
        }
    }

    private void take(Topic topic, boolean whole, Reading reading) {
        boolean doubtful = isDoubtful();
        switch (topic) {
            case OPERATOR -> {
                if (whole) {
                    steering.operatorRecords(reading);
                } else {
                    steering.operatorChanges(reading);
                }
            }
            case SERVERS -> {
                if (whole) {
                    steering.serverRecords(reading, doubtful);
                } else {
                    steering.serverChanges(reading, doubtful);
                }
            }
        }
        if (whole || !reading.records().isEmpty()) {
            onChange.run();
        }
    }

    private boolean isDoubtful() {
        return lastTrouble
                .filter(t -> clock.monotonic().since(t).compareTo(DOUBT) < 0)
                .isPresent();
    }

    private void failed(Topic topic, Throwable cause) {
        if (stopped) {
            return;
        }
        if (cause instanceof StoreException s && s.kind() == StoreException.Kind.HISTORY_LOST) {
            LogEvent.of("store-history-lost")
                    .with("topic", topic)
                    .with("version", versions.get(topic))
                    .info();
            versions.remove(topic);
            next(topic);
            return;
        }
        lastTrouble = Optional.of(clock.monotonic());
        int n = failures.merge(topic, 1, Integer::sum);
        if (lost.add(topic)) {
            LogEvent.of("store-lost")
                    .with("topic", topic)
                    .with("version", versions.get(topic))
                    .with("cause", cause)
                    .warn();
        }
        double pause =
                Math.min(FIRST_PAUSE.toMillis() * Math.pow(2, Math.min(n - 1, 8)), (double) LONGEST_PAUSE.toMillis());
        long ms = (long) (pause * (0.75 + random.nextDouble() / 2));
        var _ = loop.schedule(() -> next(topic), ms, TimeUnit.MILLISECONDS);
    }
}
