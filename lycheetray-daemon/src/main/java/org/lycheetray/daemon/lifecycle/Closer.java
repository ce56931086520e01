package org.lycheetray.daemon.lifecycle;

import java.util.ArrayDeque;
import java.util.Deque;
import org.lycheetray.daemon.log.LogEvent;

/**
 * Gathers resources and closes them in reverse order of registration.
 *
 * <p>A resource that fails to close is logged with its name and does not keep the others open.
 */
public final class Closer implements AutoCloseable {
    private record Entry(String step, AutoCloseable resource) {}

    private final Deque<Entry> entries = new ArrayDeque<>();
    private boolean closed;

    /**
     * Registers a resource.
     *
     * @param step name of the step for the log
     * @param resource the resource
     * @param <T> type of the resource
     * @return the resource
     */
    public synchronized <T extends AutoCloseable> T add(String step, T resource) {
        if (closed) {
            throw new IllegalStateException("already closed at step " + step);
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
