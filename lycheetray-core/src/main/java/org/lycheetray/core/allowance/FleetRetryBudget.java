package org.lycheetray.core.allowance;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.Map;
import org.lycheetray.core.model.ServiceName;
import org.lycheetray.core.time.MonotonicTime;

/**
 * Limits the retries of this VM for each service in a sliding window, as its part of a limit for the whole fleet.
 *
 * <p>Each VM may send retries in proportion to its own requests, plus an equal part of a fixed number of extra retries.
 * The fleet thus stays within its limit without exchanging messages. Not thread-safe.
 */
public final class FleetRetryBudget {
    /**
     * Fraction of the limit that is used. Less than 1 because the limit holds at the receivers, whose windows differ
     * from those of the senders.
     */
    private static final double SAFETY_FACTOR = 0.85;

    private RetryLimits limits;
    private final Map<ServiceName, Window> windows = new HashMap<>();
    private int vmCount = 1;

    /** Times of requests and retries within the window, oldest first. */
    private static final class Window {
        private final ArrayDeque<MonotonicTime> requests = new ArrayDeque<>();
        private final ArrayDeque<MonotonicTime> retries = new ArrayDeque<>();
    }

    /**
     * Retry limits of the whole fleet.
     *
     * @param ratio retries per request
     * @param extra additional retries per window
     * @param window length of the window
     */
    public record RetryLimits(double ratio, double extra, Duration window) {}

    /**
     * Creates a budget.
     *
     * @param limits limits of the whole fleet
     */
    public FleetRetryBudget(RetryLimits limits) {
        this.limits = limits;
    }

    /**
     * Replaces the limits.
     *
     * @param next limits of the whole fleet
     */
    public void updateLimits(RetryLimits next) {
        limits = next;
    }

    /**
     * Sets the number of VMs that share the limits.
     *
     * @param count number of VMs, including this one
     */
    public void updateVmCount(int count) {
        vmCount = Math.max(1, count);
    }

    /**
     * Records a request.
     *
     * @param service service of the request
     * @param now current time
     */
    public void recordRequest(ServiceName service, MonotonicTime now) {
        Window w = window(service, now);
        w.requests.addLast(now);
    }

    /**
     * Records a retry if the limit allows it.
     *
     * @param service service of the retry
     * @param now current time
     * @return true if the retry may be sent, false if the limit is reached
     */
    public boolean tryAcquireRetry(ServiceName service, MonotonicTime now) {
        Window w = window(service, now);
        double max = SAFETY_FACTOR * (limits.ratio() * w.requests.size() + limits.extra() / vmCount);
        if (w.retries.size() + 1 > max) {
            return false;
        }
        w.retries.addLast(now);
        return true;
    }

    private Window window(ServiceName service, MonotonicTime now) {
        Window w = windows.computeIfAbsent(service, s -> new Window());
        removeOld(w.requests, now);
        removeOld(w.retries, now);
        return w;
    }

    private void removeOld(ArrayDeque<MonotonicTime> times, MonotonicTime now) {
        while (!times.isEmpty() && now.since(times.getFirst()).compareTo(limits.window()) > 0) {
            times.removeFirst();
        }
    }
}
