package org.lycheetray.daemon.lifecycle;

import java.util.ArrayDeque;
import java.util.Deque;
import org.lycheetray.daemon.log.LogEvent;

/**
 * Closes registered resources in reverse order of their registration.
 *
 * <p>If a resource fails to close, the error is logged and the remaining resources are still closed.
 */
public final class Closer implements AutoCloseable {
    private record Entry(String step, AutoCloseable resource) {}

    private final Deque<Entry> entries = new ArrayDeque<>();
    private boolean closed;

    /**
     * Registers a resource.
     *
     * @param step name of the resource in the log
     * @param resource the resource
     * @param <T> type of the resource
     * @return the resource
     */
    public synchronized <T extends AutoCloseable> T add(String step, T resource) {
        if (closed) {
            throw new IllegalStateException("cannot register a resource after close: step=" + step);
        }
        entries.push(new Entry(step, resource));
        return resource;
    }

    @Override
    public synchronized void close() {
        closed = true;
        while (!entries.isEmpty()) {
            closeOne(entries.pop());
        }
    }

    private static void closeOne(Entry e) {
        try {
            e.resource().close();
        } catch (Exception x) {
            LogEvent.of("close-failed").with("step", e.step()).with("cause", x).warn();
        }
    }
}
