package org.lycheetray.edge.store;

import java.time.Duration;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.EnumSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.lycheetray.core.time.MonotonicTime;
import reactor.core.publisher.Mono;
import reactor.core.publisher.MonoSink;

/** Store that keeps all its changes, refuses calls at times, and can be restored to an earlier version. */
final class RestorableStore implements ReadOnlyFleetStore {
    private final ManualClock clock;
    private final List<Written> log = new ArrayList<>();
    private final Map<Topic, Poll> polls = new EnumMap<>(Topic.class);
    private final Set<Topic> answered = EnumSet.noneOf(Topic.class);
    private long version;
    private long era = 1;
    private int calls;
    private boolean refusing;

    RestorableStore(ManualClock clock) {
        this.clock = clock;
    }

    /** A long poll that the store holds. */
    private record Poll(long after, MonotonicTime end, MonoSink<RecordBatch> sink) {}

    /** A record and the version under which it was written. */
    private record Written(Topic topic, long version, StoreRecord record) {}

    /** Writes records under one version. */
    void write(Topic topic, StoreRecord... records) {
        version++;
        for (StoreRecord r : records) {
            log.add(new Written(topic, version, r));
        }
    }

    /** Refuses calls, held ones too, or answers them again. */
    void refuse(boolean on) {
        refusing = on;
        if (on) {
            answered.clear();
            failHeldCalls(StoreException.Kind.REFUSED);
        }
    }

    /** Returns whether a call of each topic was answered since calls were refused. */
    boolean hasAnsweredEachTopic() {
        return answered.size() == Topic.values().length;
    }

    int calls() {
        return calls;
    }

    void setEra(long number) {
        era = number;
    }

    /** Loses all later changes, fails the held calls, and runs the given writes before it answers again. */
    void restoreTo(long earlier, Runnable writes) {
        dropChangesAfter(earlier);
        writes.run();
        failHeldCalls(StoreException.Kind.UNKNOWN);
    }

    /** Loses all later changes, and never answers the held calls. */
    void restoreSilentlyTo(long earlier) {
        polls.clear();
        dropChangesAfter(earlier);
    }

    private void dropChangesAfter(long earlier) {
        log.removeIf(w -> w.version > earlier);
        version = earlier;
        era++;
    }

    /** Never answers the held call of a topic. */
    void loseCall(Topic topic) {
        polls.remove(topic);
    }

    private void failHeldCalls(StoreException.Kind kind) {
        List<Poll> held = List.copyOf(polls.values());
        polls.clear();
        held.forEach(p -> p.sink.error(failure(kind)));
    }

    private static StoreException failure(StoreException.Kind kind) {
        return new StoreException(kind, "read", "failed by the test");
    }

    /** Answers the held calls for which there are changes, or whose time has passed. */
    void answerPolls() {
        for (Topic t : Topic.values()) {
            Poll p = polls.get(t);
            if (p == null) {
                continue;
            }
            List<StoreRecord> changes = after(t, p.after);
            if (!changes.isEmpty() || !clock.now.isBefore(p.end)) {
                polls.remove(t);
                answered.add(t);
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
            if (refusing) {
                sink.error(failure(StoreException.Kind.REFUSED));
            } else if (after > version) {
                sink.error(failure(StoreException.Kind.HISTORY_LOST));
            } else {
                polls.put(topic, new Poll(after, clock.now.plus(wait), sink));
            }
        });
    }
}
