package org.lycheetray.measure.admission;

import java.time.Duration;
import java.util.Comparator;
import java.util.PriorityQueue;
import org.lycheetray.core.time.MonotonicTime;

/** Runs actions in order of simulated time. */
final class EventLoop {
    private final PriorityQueue<Event> events =
            new PriorityQueue<>(Comparator.comparing(Event::at).thenComparingLong(Event::sequence));
    private MonotonicTime now = MonotonicTime.ZERO;
    private long nextSequence;

    MonotonicTime now() {
        return now;
    }

    void at(MonotonicTime at, Runnable action) {
        events.add(new Event(at.isBefore(now) ? now : at, nextSequence++, action));
    }

    void after(Duration delay, Runnable action) {
        at(now.plus(delay), action);
    }

    void every(Duration interval, Runnable action) {
        after(interval, () -> {
            action.run();
            every(interval, action);
        });
    }

    void runUntil(MonotonicTime end) {
        while (!events.isEmpty() && events.peek().at().isBefore(end)) {
            Event e = events.poll();
            now = e.at();
            e.action().run();
        }
        now = end;
    }

    /** An action at a point in time. */
    private record Event(MonotonicTime at, long sequence, Runnable action) {}
}
