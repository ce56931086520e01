package org.lycheetray.edge.store;

import java.time.Instant;
import org.lycheetray.core.time.Clock;
import org.lycheetray.core.time.MonotonicTime;

/** Clock that a test sets; its wall-clock time stands still. */
final class ManualClock implements Clock {
    volatile MonotonicTime now = MonotonicTime.ZERO;

    @Override
    public MonotonicTime monotonic() {
        return now;
    }

    @Override
    public Instant instant() {
        return Instant.EPOCH;
    }
}
