package org.lycheetray.core.fleet;

import java.time.Duration;
import java.util.Optional;
import org.lycheetray.core.time.MonotonicTime;

/**
 * Decides when a VM tells the others how it is.
 *
 * <p>Each VM hears of all others, directly or through a relay, so the pauses grow with the fleet: what a VM has to read
 * stays bounded. For one thread.
 */
public final class ReportPace {
    /** Usual pause; silence is noticed after a few of them. */
    private static final Duration USUAL = Duration.ofMillis(250);

    /** Shortest pause, for reports that others wait for. */
    private static final Duration SHORTEST = Duration.ofMillis(25);

    /** Most usual reports that a VM reads in a second: a few thousandths of a core. */
    private static final double USUAL_READ_PER_SECOND = 250;

    /** Most reports that a VM reads in a second when all are urgent. */
    private static final double MOST_READ_PER_SECOND = 400;

    private static final double NANOS_PER_SECOND = 1e9;

    private Optional<MonotonicTime> last = Optional.empty();

    /**
     * Tells whether a report is due.
     *
     * @param vms number of VMs, this one included
     * @param urgent true if others rely on totals that are too old
     * @param now present time
     * @return true if one should be sent now
     */
    public boolean isDue(int vms, boolean urgent, MonotonicTime now) {
        Duration least = urgent ? pause(SHORTEST, vms, MOST_READ_PER_SECOND) : pause(USUAL, vms, USUAL_READ_PER_SECOND);
        return last.isEmpty() || now.since(last.get()).compareTo(least) >= 0;
    }

    private static Duration pause(Duration least, int vms, double readPerSecond) {
        Duration d = Duration.ofNanos((long) (vms / readPerSecond * NANOS_PER_SECOND));
        return d.compareTo(least) < 0 ? least : d;
    }

    /**
     * Notes that a report was sent.
     *
     * @param now present time
     */
    public void sent(MonotonicTime now) {
        last = Optional.of(now);
    }
}
