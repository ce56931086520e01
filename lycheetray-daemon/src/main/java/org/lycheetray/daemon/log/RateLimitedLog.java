package org.lycheetray.daemon.log;

import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.Map;
import org.lycheetray.core.time.Clock;
import org.lycheetray.core.time.MonotonicTime;

/** Logs at most one event per subject and interval, so that a malicious client cannot flood the log. Thread-safe. */
public final class RateLimitedLog {
    private static final int MAX_SUBJECTS = 1_000;

    private final Clock clock;
    private final Duration interval;
    private final Map<String, MonotonicTime> lastLogged = new LinkedHashMap<>() {
        private static final long serialVersionUID = 1;

        @Override
        protected boolean removeEldestEntry(Map.Entry<String, MonotonicTime> eldest) {
            return size() > MAX_SUBJECTS;
        }
    };

    /**
     * Creates a rate limiter with no events recorded.
     *
     * @param clock clock for the interval
     * @param interval minimum time between two events of the same subject
     */
    public RateLimitedLog(Clock clock, Duration interval) {
        this.clock = clock;
        this.interval = interval;
    }

    /**
     * Logs an event unless one was logged for the same subject within the interval.
     *
     * @param subject subject of the event, for example a host name
     * @param log writes the event
     */
    public synchronized void logOncePerInterval(String subject, Runnable log) {
        MonotonicTime now = clock.monotonic();
        MonotonicTime previous = lastLogged.get(subject);
        if (previous != null && now.since(previous).compareTo(interval) < 0) {
            return;
        }
        lastLogged.remove(subject);
        lastLogged.put(subject, now);
        log.run();
    }
}
