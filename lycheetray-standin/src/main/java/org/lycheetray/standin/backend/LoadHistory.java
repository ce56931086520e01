package org.lycheetray.standin.backend;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import org.lycheetray.core.time.MonotonicTime;

/** Past loads of one server, so that a report can lag. */
final class LoadHistory {
    private static final Duration KEPT = Duration.ofSeconds(30);
    private static final int MAX_SAMPLES = 100_000;

    private final Deque<Sample> samples = new ArrayDeque<>();

    synchronized void add(MonotonicTime now, SlotQueue.Load load) {
        samples.addLast(new Sample(now, load));
        while (samples.size() > MAX_SAMPLES
                || now.since(samples.getFirst().time()).compareTo(KEPT) > 0) {
            samples.removeFirst();
        }
    }

    /** Gives the load as it was a lag ago, or the present one if nothing older is kept. */
    synchronized SlotQueue.Load before(MonotonicTime now, Duration lag, SlotQueue.Load present) {
        if (lag.isZero()) {
            return present;
        }
        SlotQueue.Load found = new SlotQueue.Load(0, 0, present.slots(), present.peak());
        for (Sample s : samples) {
            if (now.since(s.time()).compareTo(lag) < 0) {
                break;
            }
            found = s.load();
        }
        return found;
    }

    private record Sample(MonotonicTime time, SlotQueue.Load load) {}
}
