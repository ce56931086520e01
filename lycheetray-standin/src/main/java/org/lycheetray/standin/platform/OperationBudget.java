package org.lycheetray.standin.platform;

import java.time.Duration;
import org.lycheetray.core.time.Clock;
import org.lycheetray.core.time.MonotonicTime;

/** Counts operations in windows of a second and refuses those beyond a budget. */
final class OperationBudget {
    private static final Duration WINDOW = Duration.ofSeconds(1);

    private final Clock clock;
    private final int perSecond;
    private MonotonicTime windowStart;
    private int inWindow;
    private int peak;
    private long total;
    private long refused;

    OperationBudget(Clock clock, int perSecond) {
        this.clock = clock;
        this.perSecond = perSecond;
        this.windowStart = clock.monotonic();
    }

    /** Takes one operation out of the present window's budget; false if it is used up. */
    synchronized boolean tryTake() {
        MonotonicTime now = clock.monotonic();
        if (now.since(windowStart).compareTo(WINDOW) >= 0) {
            windowStart = now;
            inWindow = 0;
        }
        if (inWindow >= perSecond) {
            refused++;
            return false;
        }
        inWindow++;
        total++;
        peak = Math.max(peak, inWindow);
        return true;
    }

    synchronized Usage usage() {
        return new Usage(total, refused, peak, perSecond);
    }

    /**
     * What was used so far.
     *
     * @param total operations performed
     * @param refused operations refused for lack of budget
     * @param peakPerSecond most operations performed in one window
     * @param budgetPerSecond most operations allowed in one window
     */
    record Usage(long total, long refused, int peakPerSecond, int budgetPerSecond) {}
}
