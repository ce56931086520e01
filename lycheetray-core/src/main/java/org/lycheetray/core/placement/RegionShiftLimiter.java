package org.lycheetray.core.placement;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.Map;
import org.lycheetray.core.model.RegionName;
import org.lycheetray.core.time.MonotonicTime;

/**
 * Limits how fast the requests received by this VM shift between regions.
 *
 * <p>Each VM applies the limit to its own requests. The shift of the whole fleet is the mean of the VMs' shifts,
 * weighted by their number of requests, so it stays within the limit too, without any coordination. The limit is meant
 * for shifts caused by load. After a loss of servers the requests have to move, so {@link #suspend} lifts the limit for
 * a short time. Not thread-safe.
 */
public final class RegionShiftLimiter {
    /**
     * Length of each of the two consecutive windows that are compared. The operators define the shift over this length.
     */
    private static final Duration WINDOW = Duration.ofSeconds(2);

    /**
     * Minimum number of requests in each window; with fewer, the shares are not significant and the limit is not
     * applied.
     */
    private static final int MIN_REQUESTS = 16;

    /**
     * Time for which the limit is suspended after a loss of servers, so that their traffic can move to other servers.
     */
    private static final Duration SUSPENSION = Duration.ofSeconds(4);

    private record Sent(MonotonicTime at, RegionName region) {}

    /** The requests sent in one window. */
    private static final class Window {
        private final ArrayDeque<Sent> sent = new ArrayDeque<>();
        private final Map<RegionName, Integer> counts = new HashMap<>();

        void add(Sent s) {
            sent.addLast(s);
            counts.merge(s.region(), 1, Integer::sum);
        }

        Sent remove() {
            Sent s = sent.removeFirst();
            counts.merge(s.region(), -1, Integer::sum);
            return s;
        }

        double share(RegionName region, int more, int moreInAll) {
            return (counts.getOrDefault(region, 0) + more) / (double) (sent.size() + moreInAll);
        }
    }

    private final Window currentWindow = new Window();
    private final Window previousWindow = new Window();
    private double maxShift;
    private MonotonicTime suspendedUntil = new MonotonicTime(Long.MIN_VALUE / 2);

    /**
     * Creates a limiter without any recorded requests.
     *
     * @param maxShift maximum fraction of the requests that may change their region from one window to the next
     */
    public RegionShiftLimiter(double maxShift) {
        this.maxShift = maxShift;
    }

    /**
     * Replaces the limit.
     *
     * @param newMaxShift maximum fraction of the requests that may change their region from one window to the next
     */
    public void setMaxShift(double newMaxShift) {
        maxShift = newMaxShift;
    }

    /**
     * Suspends the limit for a short time, after a loss of servers.
     *
     * @param now current time
     */
    public void suspend(MonotonicTime now) {
        suspendedUntil = now.plus(SUSPENSION);
    }

    /**
     * Records that a request was sent.
     *
     * @param region region to which it was sent
     * @param now current time
     */
    public void recordSent(RegionName region, MonotonicTime now) {
        advance(now);
        currentWindow.add(new Sent(now, region));
    }

    /**
     * Returns whether one more request may be sent to a region.
     *
     * @param region the region
     * @param now current time
     * @return false if the request would raise the shift above the limit
     */
    public boolean isAllowed(RegionName region, MonotonicTime now) {
        advance(now);
        if (now.isBefore(suspendedUntil)
                || previousWindow.sent.size() < MIN_REQUESTS
                || currentWindow.sent.size() < MIN_REQUESTS) {
            return true;
        }
        double growth = currentWindow.share(region, 1, 1) - previousWindow.share(region, 0, 0);
        if (growth <= 0) {
            return true;
        }
        double moved = growth;
        for (RegionName other : currentWindow.counts.keySet()) {
            if (!other.equals(region)) {
                moved += Math.max(0, currentWindow.share(other, 0, 1) - previousWindow.share(other, 0, 0));
            }
        }
        return moved <= maxShift;
    }

    private void advance(MonotonicTime now) {
        while (!currentWindow.sent.isEmpty()
                && now.since(currentWindow.sent.getFirst().at()).compareTo(WINDOW) > 0) {
            previousWindow.add(currentWindow.remove());
        }
        Duration twice = WINDOW.multipliedBy(2);
        while (!previousWindow.sent.isEmpty()
                && now.since(previousWindow.sent.getFirst().at()).compareTo(twice) > 0) {
            previousWindow.remove();
        }
    }
}
