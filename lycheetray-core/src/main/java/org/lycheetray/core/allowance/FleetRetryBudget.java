package org.lycheetray.core.allowance;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.Map;
import org.lycheetray.core.fleet.FleetKnowledge;
import org.lycheetray.core.model.ServiceName;
import org.lycheetray.core.time.MonotonicTime;

/**
 * Limits the retries of this VM for each service in a sliding window, as its part of a limit for the whole fleet.
 *
 * <p>Each VM may send retries in proportion to its own requests, whatever it knows of the fleet, plus an equal part of a
 * fixed number of extra retries if it knows the fleet. Its part is the smallest of those that it had at any time within
 * the window. Therefore the parts that are used in one window were all held at the start of that window, and a process
 * does not use a part that the process before it may have used. Not thread-safe.
 */
public final class FleetRetryBudget {
    /**
     * Fraction of the limit that is used. Less than 1 because the limit holds at the receivers, whose windows differ
     * from those of the senders.
     */
    private static final double SAFETY_FACTOR = 0.85;

    private RetryLimits limits;
    private final Map<ServiceName, Window> windows = new HashMap<>();
    private final ArrayDeque<PartChange> parts = new ArrayDeque<>();

    /** Part of the extra retries that this VM holds from a time on. */
    private record PartChange(MonotonicTime at, double part) {}

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
        parts.add(new PartChange(MonotonicTime.ZERO, FleetKnowledge.initial().spendablePart()));
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
     * Applies what is known of the fleet that shares the limits.
     *
     * @param fleet the knowledge
     * @param now current time
     */
    public void updateFleet(FleetKnowledge fleet, MonotonicTime now) {
        double part = fleet.spendablePart();
        if (part != parts.getLast().part()) {
            parts.addLast(new PartChange(now, part));
            removeOldParts(now);
        }
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
     * Returns whether the limit allows a retry now, without recording one.
     *
     * @param service service of the retry
     * @param now current time
     * @return true if a retry could be sent at this time
     */
    public boolean allowsRetry(ServiceName service, MonotonicTime now) {
        Window w = window(service, now);
        double max = SAFETY_FACTOR * (limits.ratio() * w.requests.size() + limits.extra() * usablePart(now));
        return w.retries.size() + 1 <= max;
    }

    /**
     * Records a retry if the limit allows it. To be called when the retry is sent: one that is recorded earlier and sent
     * later is counted in the wrong window.
     *
     * @param service service of the retry
     * @param now current time
     * @return true if the retry may be sent, false if the limit is reached
     */
    public boolean tryAcquireRetry(ServiceName service, MonotonicTime now) {
        boolean allowed = allowsRetry(service, now);
        if (allowed) {
            window(service, now).retries.addLast(now);
        }
        return allowed;
    }

    /** Returns the smallest part within the window. */
    private double usablePart(MonotonicTime now) {
        removeOldParts(now);
        return parts.stream().mapToDouble(PartChange::part).min().orElse(0);
    }

    /** Removes the parts that ended before the window. */
    private void removeOldParts(MonotonicTime now) {
        PartChange first = parts.removeFirst();
        while (!parts.isEmpty() && now.since(parts.getFirst().at()).compareTo(limits.window()) > 0) {
            first = parts.removeFirst();
        }
        parts.addFirst(first);
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
