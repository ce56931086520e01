package org.lycheetray.edge.store;

import io.netty.channel.EventLoop;
import java.time.Duration;
import java.util.EnumMap;
import java.util.EnumSet;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.random.RandomGenerator;
import org.lycheetray.core.registry.StoreOutageTracker;
import org.lycheetray.core.time.Clock;
import org.lycheetray.core.time.MonotonicTime;
import org.lycheetray.daemon.log.LogEvent;
import org.lycheetray.edge.exchange.TrafficSteering;
import reactor.core.Disposable;
import reactor.core.publisher.Mono;

/**
 * Keeps the routing state of the local VM up to date with the store: reads all records once, then long-polls for
 * changes.
 *
 * <p>While the store is unavailable, the VM continues with the last known state. Versions are comparable only within an
 * era of the store: after a restore from an older copy they are given out again, so all records are read anew. Not
 * thread-safe: use only on the event loop.
 */
public final class StoreFollower {
    /** Longest time that the store holds a long poll without changes. Long, because each call to the store costs. */
    private static final Duration LONG_POLL_WAIT = Duration.ofSeconds(5);

    /** Pause after changes of backend servers, so that one call returns a burst of changes. */
    private static final Duration SERVER_CHANGES_PAUSE = Duration.ofMillis(400);

    /** Response timeout in addition to the long-poll time; a slow store still answers within it. */
    private static final Duration RESPONSE_TIMEOUT = Duration.ofMillis(1_500);

    /** Long-poll time after a failure; short, so that another lost call is noticed early. */
    private static final Duration WAIT_AFTER_FAILURE = Duration.ofMillis(300);

    /** Longest time that another VM may be ahead before the pending call is considered lost. */
    private static final Duration MAX_LAG = Duration.ofMillis(500);

    /** Pause before the first retry of a failed call. Doubles with each further failure. */
    private static final Duration MIN_RETRY_PAUSE = Duration.ofMillis(150);

    /**
     * Longest pause before a retry. Bounded so that a VM notices a recovered store well within the time in which
     * changes must take effect.
     */
    private static final Duration MAX_RETRY_PAUSE = Duration.ofSeconds(1);

    /**
     * Time after a restore in which listings may lack records, or hold outdated ones. By then writers have repeated what
     * was lost, and entries of servers that have left have expired.
     */
    private static final Duration RESTORE_SETTLING = Duration.ofSeconds(6);

    /** Maximum random extension of {@link #RESTORE_SETTLING}, as a fraction of it; spreads the reads of all VMs. */
    private static final double SETTLING_JITTER = 0.25;

    private final FleetStore store;
    private final TrafficSteering steering;
    private final EventLoop loop;
    private final Clock clock;
    private final RandomGenerator random;
    private final Map<Topic, Long> knownVersions = new EnumMap<>(Topic.class);
    private final Map<Topic, Integer> failures = new EnumMap<>(Topic.class);
    private final Set<Topic> lostTopics = EnumSet.noneOf(Topic.class);
    private final StoreOutageTracker outages = new StoreOutageTracker();
    private final Map<Topic, Disposable> pendingCalls = new EnumMap<>(Topic.class);
    private final Map<Topic, Lag> lags = new EnumMap<>(Topic.class);

    /** Topics that are read as a whole with the next call: none of their records were read yet, or those are outdated. */
    private final Set<Topic> outdatedTopics = EnumSet.allOf(Topic.class);

    private boolean stopped;
    private long lastServerChange;
    private OptionalLong era = OptionalLong.empty();
    private boolean settling;
    private Runnable onRestore = () -> {};
    private Runnable onChange = () -> {};

    /**
     * Creates a follower; call {@link #start} to begin reading.
     *
     * @param store the store
     * @param steering routing state that receives the records
     * @param loop the event loop
     * @param clock source of monotonic time
     * @param random source of jitter, which spreads the retries of several VMs
     */
    public StoreFollower(
            FleetStore store, TrafficSteering steering, EventLoop loop, Clock clock, RandomGenerator random) {
        this.store = store;
        this.steering = steering;
        this.loop = loop;
        this.clock = clock;
        this.random = random;
    }

    /**
     * Sets an action that is run when the store was restored from an older copy, which may lack what this VM wrote.
     *
     * @param action the action
     */
    public void onRestore(Runnable action) {
        onRestore = action;
    }

    /**
     * Returns the era of the store.
     *
     * @return the era, or empty before the first read
     */
    public OptionalLong era() {
        return era;
    }

    /**
     * Starts reading all topics.
     *
     * @param changed called after each change of the routing state
     */
    public void start(Runnable changed) {
        onChange = changed;
        for (Topic t : Topic.values()) {
            readNext(t);
        }
    }

    /**
     * Returns the store version up to which a topic has been read.
     *
     * @param topic the topic
     * @return the version, or {@link Long#MAX_VALUE} until the topic has been read as a whole
     */
    public long knownVersion(Topic topic) {
        return outdatedTopics.contains(topic) ? Long.MAX_VALUE : knownVersions.get(topic);
    }

    /**
     * Returns the store version of the last change of backend servers that was read.
     *
     * @return the version, or 0 if no change was read
     */
    public long lastServerChange() {
        return lastServerChange;
    }

    /** Stops reading; results of pending calls are ignored. */
    public void stop() {
        stopped = true;
    }

    private void readNext(Topic topic) {
        if (stopped) {
            return;
        }
        boolean complete = outdatedTopics.contains(topic);
        Duration wait = failures.containsKey(topic) ? WAIT_AFTER_FAILURE : LONG_POLL_WAIT;
        Mono<RecordBatch> call = complete
                ? store.readAll(topic).timeout(RESPONSE_TIMEOUT)
                : store.awaitChanges(topic, knownVersions.get(topic), wait).timeout(wait.plus(RESPONSE_TIMEOUT));
        MonotonicTime sent = clock.monotonic();
        pendingCalls.put(
                topic,
                call.switchIfEmpty(Mono.error(() -> new StoreException(
                                StoreException.Kind.UNKNOWN, "read", "the call completed without a response")))
                        .subscribe(
                                r -> loop.execute(() -> handleResult(topic, complete, r)),
                                e -> loop.execute(() -> handleFailure(topic, sent, e))));
    }

    /**
     * Records how far another VM has read the backend servers' entries. If the VM has seen a later era of the store,
     * the local VM is behind with all topics.
     *
     * @param peerEra era of the store that the other VM has seen
     * @param version version of the last change of backend servers that the other VM has read
     */
    public void recordPeerServersVersion(long peerEra, long version) {
        if (era.isEmpty()) {
            return;
        }
        if (peerEra == era.getAsLong()) {
            recordPeerVersion(Topic.SERVERS, version, knownVersion(Topic.SERVERS));
        } else if (peerEra > era.getAsLong()) {
            for (Topic t : Topic.values()) {
                recordPeerVersion(t, Long.MAX_VALUE, knownVersion(t));
            }
        }
    }

    /**
     * Records the version that another VM has read. If the local VM stays behind for longer than the limit, its pending
     * call is considered lost, and is cancelled and sent again.
     *
     * @param topic the topic
     * @param version version that the other VM has read
     * @param known version that the local VM has read
     */
    public void recordPeerVersion(Topic topic, long version, long known) {
        Lag previous = lags.get(topic);
        if (previous != null && previous.localVersion() != known) {
            lags.remove(topic);
        }
        if (version <= known || stopped) {
            return;
        }
        MonotonicTime now = clock.monotonic();
        Lag lag = lags.computeIfAbsent(topic, t -> new Lag(known, now));
        Disposable call = pendingCalls.get(topic);
        if (now.since(lag.since()).compareTo(MAX_LAG) > 0 && call != null && !call.isDisposed()) {
            lags.remove(topic);
            LogEvent.of("store-call-lost")
                    .with("topic", topic)
                    .with("known", known)
                    .with("others-know", version)
                    .warn();
            call.dispose();
            failures.merge(topic, 1, Integer::sum);
            readNext(topic);
        }
    }

    /** Version that the local VM had read when another VM was first ahead of it, and the time of that. */
    private record Lag(long localVersion, MonotonicTime since) {}

    private void handleResult(Topic topic, boolean complete, RecordBatch batch) {
        if (stopped) {
            return;
        }
        if (era.isPresent() && batch.era() < era.getAsLong()) {
            handleFailure(
                    topic,
                    clock.monotonic(),
                    new StoreException(StoreException.Kind.UNKNOWN, "read", "response of era " + batch.era()));
            return;
        }
        failures.remove(topic);
        outages.recordAnswer(clock.monotonic());
        if (era.isEmpty()) {
            era = OptionalLong.of(batch.era());
        } else if (batch.era() > era.getAsLong()) {
            recordRestore(topic, batch);
        }
        if (lostTopics.remove(topic)) {
            LogEvent.of("store-regained")
                    .with("topic", topic)
                    .with("version", batch.version())
                    .info();
        }
        if (!complete && outdatedTopics.contains(topic)) {
            readNext(topic);
            return;
        }
        outdatedTopics.remove(topic);
        knownVersions.put(topic, batch.version());
        try {
            apply(topic, complete, batch);
        } catch (RuntimeException e) {
            LogEvent.of("reading-not-taken")
                    .with("topic", topic)
                    .with("cause", e)
                    .error();
        }
        if (topic == Topic.SERVERS && !batch.records().isEmpty()) {
            var _ = loop.schedule(() -> readNext(topic), SERVER_CHANGES_PAUSE.toMillis(), TimeUnit.MILLISECONDS);
        } else {
            readNext(topic);
        }
    }

    private void recordRestore(Topic topic, RecordBatch batch) {
        LogEvent.of("store-restored")
                .with("topic", topic)
                .with("era", batch.era())
                .with("before", era.getAsLong())
                .with("version", batch.version())
                .with("known", knownVersions.get(topic))
                .info();
        era = OptionalLong.of(batch.era());
        outages.recordRestore(clock.monotonic());
        lastServerChange = 0;
        lags.clear();
        settling = true;
        long restored = batch.era();
        long settled = (long) (RESTORE_SETTLING.toMillis() * (1 + SETTLING_JITTER * random.nextDouble()));
        var _ = loop.schedule(() -> finishSettling(restored), settled, TimeUnit.MILLISECONDS);
        readAllAgain();
        onRestore.run();
    }

    /** Reads all records again, as the listings after the restore were not taken as complete. */
    private void finishSettling(long restoredEra) {
        if (!stopped && era.getAsLong() == restoredEra) {
            settling = false;
            readAllAgain();
        }
    }

    /** Reads all topics as a whole. Replaces pending calls; where none is pending, the next one does so. */
    private void readAllAgain() {
        for (Topic t : Topic.values()) {
            outdatedTopics.add(t);
            Disposable call = pendingCalls.get(t);
            if (call != null && !call.isDisposed()) {
                call.dispose();
                readNext(t);
            }
        }
    }

    private void apply(Topic topic, boolean complete, RecordBatch batch) {
        MonotonicTime now = clock.monotonic();
        switch (topic) {
            case OPERATOR -> {
                if (complete && !settling) {
                    steering.applyOperatorSnapshot(batch);
                } else {
                    steering.applyOperatorChanges(batch);
                }
            }
            case SERVERS -> {
                Optional<MonotonicTime> deadline = outages.reappearanceDeadline(now);
                if (complete || !batch.records().isEmpty()) {
                    deadline.ifPresent(t -> logReadAfterOutage(batch, t.since(now)));
                }
                lastServerChange = Math.max(lastServerChange, batch.lastChangeVersion());
                if (complete) {
                    steering.applyServerSnapshot(batch, deadline, settling);
                } else {
                    steering.applyServerChanges(batch, deadline);
                }
            }
        }
        if (complete || !batch.records().isEmpty()) {
            onChange.run();
        }
    }

    private static void logReadAfterOutage(RecordBatch batch, Duration toDeadline) {
        LogEvent.of("servers-read-after-outage")
                .with("version", batch.version())
                .with("records", batch.records().size())
                .with("missing-entries-wait-ms", toDeadline.toMillis())
                .info();
    }

    private void handleFailure(Topic topic, MonotonicTime sent, Throwable cause) {
        if (stopped) {
            return;
        }
        if (cause instanceof StoreException s && s.kind() == StoreException.Kind.HISTORY_LOST) {
            LogEvent.of("store-history-lost")
                    .with("topic", topic)
                    .with("version", knownVersions.get(topic))
                    .info();
            outdatedTopics.add(topic);
            readNext(topic);
            return;
        }
        outages.recordFailure(sent);
        int n = failures.merge(topic, 1, Integer::sum);
        if (lostTopics.add(topic)) {
            LogEvent.of("store-lost")
                    .with("topic", topic)
                    .with("version", knownVersions.get(topic))
                    .with("cause", cause)
                    .warn();
        }
        double pause = Math.min(
                MIN_RETRY_PAUSE.toMillis() * Math.pow(2, Math.min(n - 1, 8)), (double) MAX_RETRY_PAUSE.toMillis());
        long ms = (long) (pause * (0.75 + random.nextDouble() / 2));
        var _ = loop.schedule(() -> readNext(topic), ms, TimeUnit.MILLISECONDS);
    }
}
