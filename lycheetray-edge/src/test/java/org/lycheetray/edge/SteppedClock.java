package org.lycheetray.edge;

import java.time.Duration;
import java.time.Instant;
import org.lycheetray.core.time.Clock;
import org.lycheetray.core.time.MonotonicTime;

/** Clock that follows the system's clock until it is frozen; from then on a test advances it. */
final class SteppedClock implements Clock {
    private final Clock system = Clock.system();
    private volatile MonotonicTime frozen;

    void freeze() {
        frozen = system.monotonic();
    }

    /** Advances the frozen clock. */
    synchronized void advance(Duration d) {
        frozen = frozen.plus(d);
    }

    @Override
    public MonotonicTime monotonic() {
        MonotonicTime t = frozen;
        return t == null ? system.monotonic() : t;
    }

    @Override
    public Instant instant() {
        return system.instant();
    }
}
