package org.lycheetray.core.placement;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.Map;
import org.lycheetray.core.model.RegionName;
import org.lycheetray.core.time.MonotonicTime;

/**
 * Limits how fast the requests of this VM's callers move between regions.
 *
 * <p>Every VM keeps the limit for its own requests. The fleet's shift is the mean of the VMs' shifts, weighted by their
 * requests, so it is kept too, without any messages. The limit holds for moves that follow the load; servers that were
 * lost leave no choice, and {@link #lift} then suspends it for a moment. For one thread.
 */
public final class RegionMoves {
    /** Length of the windows that are compared. Source: the operators' definition of a shift. */
    private static final Duration WINDOW = Duration.ofSeconds(2);

    /** Requests in a window below which shares mean nothing. */
    private static final int LEAST_REQUESTS = 16;

    /** Time for which lost servers suspend the limit: until what they had runs elsewhere. */
    private static final Duration LIFTED = Duration.ofSeconds(4);

    private record Sent(MonotonicTime at, RegionName region) {}

    /** Requests of one window. */
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

    private final Window present = new Window();
    private final Window before = new Window();
    private double mostShift;
    private MonotonicTime liftedUntil = new MonotonicTime(Long.MIN_VALUE / 2);

    /**
     * Creates the record of a VM that has sent nothing.
     *
     * @param mostShift largest part of the requests that may change their region from one window to the next
     */
    public RegionMoves(double mostShift) {
        this.mostShift = mostShift;
    }

    /**
     * Replaces the limit.
     *
     * @param most largest part of the requests that may change their region
     */
    public void limit(double most) {
        mostShift = most;
    }

    /**
     * Suspends the limit, because servers were lost.
     *
     * @param now present time
     */
    public void lift(MonotonicTime now) {
        liftedUntil = now.plus(LIFTED);
    }

    /**
     * Counts a request.
     *
     * @param region region that it was sent to
     * @param now present time
     */
    public void sent(RegionName region, MonotonicTime now) {
        advance(now);
        present.add(new Sent(now, region));
    }

    /**
     * Tells whether one more request may go to a region.
     *
     * @param region the region
     * @param now present time
     * @return false if too many requests would have changed their region
     */
    public boolean isAllowed(RegionName region, MonotonicTime now) {
        advance(now);
        if (now.isBefore(liftedUntil) || before.sent.size() < LEAST_REQUESTS || present.sent.size() < LEAST_REQUESTS) {
            return true;
        }
        double own = present.share(region, 1, 1) - before.share(region, 0, 0);
        if (own <= 0) {
            return true;
        }
        double moved = own;
        for (RegionName other : present.counts.keySet()) {
            if (!other.equals(region)) {
                moved += Math.max(0, present.share(other, 0, 1) - before.share(other, 0, 0));
            }
        }
        return moved <= mostShift;
    }

    private void advance(MonotonicTime now) {
        while (!present.sent.isEmpty()
                && now.since(present.sent.getFirst().at()).compareTo(WINDOW) > 0) {
            before.add(present.remove());
        }
        Duration twice = WINDOW.multipliedBy(2);
        while (!before.sent.isEmpty() && now.since(before.sent.getFirst().at()).compareTo(twice) > 0) {
            before.remove();
        }
    }
}
