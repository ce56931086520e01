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
import reactor.core.Disposable;
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

    /** Time that the store holds a call right after a failure, when the next call may be lost as well. */
    private static final Duration CAUTIOUS_WAIT = Duration.ofMillis(300);

    /** Time for which another VM may be ahead before the present call is taken for lost. */
    private static final Duration BEHIND_LIMIT = Duration.ofMillis(500);

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
    private final Map<Topic, Disposable> calls = new EnumMap<>(Topic.class);
    private final Map<Topic, Behind> behind = new EnumMap<>(Topic.class);
    private boolean stopped;
    private long serversVersion;
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

    /**
     * How far everything is known.
     *
     * @param topic the kind of records
     * @return version of the store, the largest there is while nothing was read yet
     */
    public long position(Topic topic) {
        return versions.getOrDefault(topic, Long.MAX_VALUE);
    }

    /**
     * How far changes of backend servers are known.
     *
     * @return version of the store at the last change that was read
     */
    public long serversVersion() {
        return serversVersion;
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
        Duration wait = failures.containsKey(topic) ? CAUTIOUS_WAIT : FEED_WAIT;
        Mono<Reading> call = version == null
                ? store.list(topic).timeout(ANSWER_TIME)
                : store.changes(topic, version, wait).timeout(wait.plus(ANSWER_TIME));
        calls.put(
                topic,
                call.switchIfEmpty(Mono.error(() -> new StoreException(
                                StoreException.Kind.UNKNOWN, "read", "the call ended without an answer")))
                        .subscribe(
                                r -> loop.execute(() -> read(topic, version == null, r)),
                                e -> loop.execute(() -> failed(topic, e))));
    }

    /**
     * Takes what another VM knows; if this one stays behind, its present call was lost on the way.
     *
     * @param topic what it knows
     * @param version how far
     * @param known how far this VM knows the same
     */
    public void othersKnow(Topic topic, long version, long known) {
        Behind before = behind.get(topic);
        if (before != null && before.known() != known) {
            behind.remove(topic);
        }
        if (version <= known || stopped) {
            return;
        }
        MonotonicTime now = clock.monotonic();
        Behind b = behind.computeIfAbsent(topic, t -> new Behind(known, now));
        Disposable call = calls.get(topic);
        if (now.since(b.since()).compareTo(BEHIND_LIMIT) > 0 && call != null && !call.isDisposed()) {
            behind.remove(topic);
            LogEvent.of("store-call-lost")
                    .with("topic", topic)
                    .with("known", known)
                    .with("others-know", version)
                    .warn();
            call.dispose();
            failures.merge(topic, 1, Integer::sum);
            next(topic);
        }
    }

    /** Since when another VM has been ahead. */
    private record Behind(long known, MonotonicTime since) {}

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
            LogEvent.of("reading-not-taken")
                    .with("topic", topic)
                    .with("cause", e)
                    .error();
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
                serversVersion = Math.max(serversVersion, reading.lastChange());
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
