package org.lycheetray.core.allowance;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.Map;
import org.lycheetray.core.model.ServiceName;
import org.lycheetray.core.time.MonotonicTime;

/**
 * Bounds this VM's part of the fleet's further attempts at each service, in any window.
 *
 * <p>Every VM earns attempts from its own requests and has an equal part of what is granted on top, so the fleet's sum
 * obeys without any messages. For one thread.
 */
public final class RetryAllowance {
    /** Part of the bound that is used, since windows are measured where requests arrive, not where they are sent. */
    private static final double SAFETY_FACTOR = 0.85;

    private RetryLimits limits;
    private final Map<ServiceName, Window> windows = new HashMap<>();
    private int vmCount = 1;

    /** Times of requests and further attempts within the window, oldest first. */
    private static final class Window {
        private final ArrayDeque<MonotonicTime> requests = new ArrayDeque<>();
        private final ArrayDeque<MonotonicTime> retries = new ArrayDeque<>();
    }

    /**
     * Bounds of the whole fleet.
     *
     * @param ratio further attempts per request
     * @param extra further attempts on top, in a window
     * @param window length of the window
     */
    public record RetryLimits(double ratio, double extra, Duration window) {}

    /**
     * Creates an allowance.
     *
     * @param limits bounds of the whole fleet
     */
    public RetryAllowance(RetryLimits limits) {
        this.limits = limits;
    }

    /**
     * Replaces the bounds.
     *
     * @param next bounds of the whole fleet
     */
    public void limit(RetryLimits next) {
        limits = next;
    }

    /**
     * Sets the number of VMs that share the bounds.
     *
     * @param count VMs, this one included
     */
    public void vms(int count) {
        vmCount = Math.max(1, count);
    }

    /**
     * Counts a request.
     *
     * @param service service that it is for
     * @param now present time
     */
    public void request(ServiceName service, MonotonicTime now) {
        Window w = window(service, now);
        w.requests.addLast(now);
    }

    /**
     * Takes a further attempt out of the allowance.
     *
     * @param service service that it goes to
     * @param now present time
     * @return false if the allowance is spent
     */
    public boolean tryRetry(ServiceName service, MonotonicTime now) {
        Window w = window(service, now);
        double most = SAFETY_FACTOR * (limits.ratio() * w.requests.size() + limits.extra() / vmCount);
        if (w.retries.size() + 1 > most) {
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
