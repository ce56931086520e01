package org.lycheetray.measure.routing;

import java.util.Comparator;
import java.util.PriorityQueue;

/** Events in the order of simulated time. */
final class Timeline {
    private final PriorityQueue<Event> events =
            new PriorityQueue<>(Comparator.comparingLong(Event::at).thenComparingLong(Event::sequence));
    private long now;
    private long sequence;

    private record Event(long at, long sequence, Runnable action) {}

    long now() {
        return now;
    }

    void after(long nanos, Runnable action) {
        events.add(new Event(now + nanos, sequence++, action));
    }

    void run(long until) {
        while (!events.isEmpty() && events.peek().at() <= until) {
            Event e = events.poll();
            now = e.at();
            e.action().run();
        }
        now = until;
    }
}
