package org.lycheetray.edge.log;

import java.time.Duration;
import org.lycheetray.core.time.Clock;
import org.lycheetray.core.time.MonotonicTime;
import org.lycheetray.daemon.log.LogEvent;

/**
 * Writes log events up to a limit per second, and counts and reports the events that it drops.
 *
 * <p>tinylog's writing thread does the output, so that no request waits for it. Not thread-safe: use only on the event
 * loop.
 */
public final class RequestLog {
    /** Limit that is several times the request rate of a busy VM and still little work for the writing thread. */
    private static final int MAX_LINES_PER_SECOND = 400;

    private static final Duration PERIOD = Duration.ofSeconds(1);

    private final Clock clock;
    private MonotonicTime periodStart;
    private int writtenLines;
    private long droppedLines;

    /**
     * Creates a log.
     *
     * @param clock source of monotonic time for the limit
     */
    public RequestLog(Clock clock) {
        this.clock = clock;
        this.periodStart = clock.monotonic();
    }

    /**
     * Writes an event, or drops it if the limit of the current second is reached.
     *
     * @param event the event
     */
    public void write(LogEvent event) {
        MonotonicTime now = clock.monotonic();
        if (now.since(periodStart).compareTo(PERIOD) >= 0) {
            if (droppedLines > 0) {
                LogEvent.of("log-lines-left-out").with("count", droppedLines).warn();
            }
            periodStart = now;
            writtenLines = 0;
            droppedLines = 0;
        }
        if (writtenLines >= MAX_LINES_PER_SECOND) {
            droppedLines++;
            return;
        }
        writtenLines++;
        event.info();
    }
}
