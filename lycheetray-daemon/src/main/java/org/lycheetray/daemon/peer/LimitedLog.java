package org.lycheetray.daemon.peer;

import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.Map;
import org.lycheetray.core.time.Clock;
import org.lycheetray.core.time.MonotonicTime;

/** Lets a log event through once per subject and period, so that a hostile peer cannot flood the log. */
final class LimitedLog {
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

    LimitedLog(Clock clock, Duration period) {
        this.clock = clock;
        this.period = period;
    }

    synchronized void once(String subject, Runnable log) {
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
