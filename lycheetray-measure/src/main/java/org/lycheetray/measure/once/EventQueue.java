package org.lycheetray.measure.once;

import java.time.Duration;
import java.util.Comparator;
import java.util.PriorityQueue;
import org.lycheetray.core.time.MonotonicTime;

/** Virtual time: actions run in order of their times, and of their scheduling where times are equal. */
final class EventQueue {
    private final PriorityQueue<Event> events =
            new PriorityQueue<>(Comparator.comparing(Event::at).thenComparingLong(Event::sequence));
    private MonotonicTime now = MonotonicTime.ZERO;
    private long scheduled;

    private record Event(MonotonicTime at, long sequence, Runnable action) {}

    MonotonicTime now() {
        return now;
    }

    void after(Duration d, Runnable action) {
        at(now.plus(d), action);
    }

    void at(MonotonicTime t, Runnable action) {
        events.add(new Event(t.isBefore(now) ? now : t, scheduled++, action));
    }

    void runUntil(MonotonicTime end) {
        while (!events.isEmpty() && events.peek().at().isBefore(end)) {
            Event e = events.remove();
            now = e.at();
            e.action().run();
        }
        now = end;
    }
}
