package org.lycheetray.core.fleet;

import java.time.Duration;
import java.util.Optional;
import org.lycheetray.core.time.MonotonicTime;

/**
 * Schedules the status reports that a VM sends to the other VMs.
 *
 * <p>Each VM receives the reports of all others, directly or through a relay. The interval between reports grows with
 * the size of the fleet, so that the number of reports that a VM reads per second stays bounded. Not thread-safe.
 */
public final class ReportSchedule {
    /**
     * Minimum interval of regular reports, a fraction of the time without reports after which a VM counts as silent.
     */
    private static final Duration REGULAR_INTERVAL = Duration.ofMillis(250);

    /** Minimum interval of urgent reports, which other VMs are waiting for. */
    private static final Duration MIN_INTERVAL = Duration.ofMillis(25);

    /** Maximum regular reports that a VM reads per second, which take a few thousandths of a CPU core. */
    private static final double REGULAR_READS_PER_SECOND = 250;

    /** Maximum reports that a VM reads per second when all of them are urgent. */
    private static final double MAX_READS_PER_SECOND = 400;

    private static final double NANOS_PER_SECOND = 1e9;

    private Optional<MonotonicTime> lastSent = Optional.empty();

    /**
     * Returns whether a report is due.
     *
     * @param vms number of VMs, including the local VM
     * @param urgent true if quota totals or server limits that other VMs use are outdated
     * @param now current time
     * @return true if a report should be sent now
     */
    public boolean isDue(int vms, boolean urgent, MonotonicTime now) {
        Duration minInterval = urgent
                ? interval(MIN_INTERVAL, vms, MAX_READS_PER_SECOND)
                : interval(REGULAR_INTERVAL, vms, REGULAR_READS_PER_SECOND);
        return lastSent.isEmpty() || now.since(lastSent.get()).compareTo(minInterval) >= 0;
    }

    private static Duration interval(Duration min, int vms, double readPerSecond) {
        Duration d = Duration.ofNanos((long) (vms / readPerSecond * NANOS_PER_SECOND));
        return d.compareTo(min) < 0 ? min : d;
    }

    /**
     * Records that a report was sent.
     *
     * @param now current time
     */
    public void recordSent(MonotonicTime now) {
        lastSent = Optional.of(now);
    }
}
