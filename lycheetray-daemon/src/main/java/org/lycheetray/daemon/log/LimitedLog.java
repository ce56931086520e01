package org.lycheetray.daemon.log;

import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.Map;
import org.lycheetray.core.time.Clock;
import org.lycheetray.core.time.MonotonicTime;

/** Lets a log event through once per subject and period, so that a hostile peer cannot flood the log. */
public final class LimitedLog {
    private static final int MAX_SUBJECTS = 1_000;

    private final Clock clock;
    private final Duration period;
    private final Map<String, MonotonicTime> last = new LinkedHashMap<>() {
        private static final long serialVersionUID = 1;

        @Override
        protected boolean removeEldestEntry(Map.Entry<String, MonotonicTime> eldest) {
            return size() > MAX_SUBJECTS;
        }
    };

    /**
     * Creates a filter that has seen nothing.
     *
     * @param clock clock for the period
     * @param period least time between two events of one subject
     */
    public LimitedLog(Clock clock, Duration period) {
        this.clock = clock;
        this.period = period;
    }

    /**
     * Logs unless the subject was logged within the period.
     *
     * @param subject what the event is about, for example a host
     * @param log writes the event
     */
    public synchronized void once(String subject, Runnable log) {
        MonotonicTime now = clock.monotonic();
        MonotonicTime before = last.get(subject);
        if (before != null && now.since(before).compareTo(period) < 0) {
            return;
        }
        last.remove(subject);
        last.put(subject, now);
        log.run();
    }
}
