package org.lycheetray.edge.log;

import java.time.Duration;
import org.lycheetray.core.time.Clock;
import org.lycheetray.core.time.MonotonicTime;
import org.lycheetray.daemon.log.LogEvent;

/**
 * Writes one line for each request and each change of belief, up to a limit per second; what is left out is counted.
 *
 * <p>The lines are handed to tinylog's writing thread, so that no request waits for them. For the event loop.
 */
public final class RequestLog {
    /** Lines per second: several times the requests of a busy VM, and little work for the writing thread. */
    private static final int LINES_PER_SECOND = 400;

    private static final Duration PERIOD = Duration.ofSeconds(1);

    private final Clock clock;
    private MonotonicTime periodStart;
    private int lines;
    private long leftOut;

    /**
     * Creates a log.
     *
     * @param clock clock for the limit
     */
    public RequestLog(Clock clock) {
        this.clock = clock;
        this.periodStart = clock.monotonic();
    }

    /**
     * Writes an event unless there were too many of them.
     *
     * @param event the event
     */
    public void write(LogEvent event) {
        MonotonicTime now = clock.monotonic();
        if (now.since(periodStart).compareTo(PERIOD) >= 0) {
            if (leftOut > 0) {
                LogEvent.of("log-lines-left-out").with("count", leftOut).warn();
            }
            periodStart = now;
            lines = 0;
            leftOut = 0;
        }
        if (lines >= LINES_PER_SECOND) {
            leftOut++;
            return;
        }
        lines++;
        event.info();
    }
}
