package org.lycheetray.daemon.limit;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Consumer;

/**
 * Limits the open connections of a listener.
 *
 * <p>When the limit is reached, the connection that has been unused for longest is closed for a new one. Not all
 * connections can be in use at a time, so that connections that are kept open or in use can't keep out other callers.
 *
 * <p>Not thread-safe: used on the event loop only.
 *
 * @param <C> handler of a connection
 */
public final class ConnectionLimit<C> {
    /** Part of the connections that are never in use, as a divisor. */
    private static final int UNUSED_PART = 8;

    private final int max;
    private final int maxInUse;
    private final Consumer<C> close;
    private final Set<C> unused = new LinkedHashSet<>();
    private final Set<C> inUse = new HashSet<>();

    /**
     * Creates a limit without connections.
     *
     * @param max maximum number of connections, at least 2
     * @param close closes a connection
     */
    public ConnectionLimit(int max, Consumer<C> close) {
        this.max = max;
        this.maxInUse = max - Math.max(1, max / UNUSED_PART);
        this.close = close;
    }

    /**
     * Adds a connection, and closes another one if there are too many.
     *
     * @param c the connection
     */
    public void add(C c) {
        if (unused.size() + inUse.size() >= max) {
            Iterator<C> i = unused.iterator();
            C longest = i.next();
            i.remove();
            close.accept(longest);
        }
        unused.add(c);
    }

    /**
     * Marks a connection as in use, so that it is not closed for another one.
     *
     * @param c the connection
     * @return false if too many are in use
     */
    public boolean tryUse(C c) {
        if (inUse.contains(c)) {
            return true;
        }
        if (inUse.size() >= maxInUse) {
            return false;
        }
        unused.remove(c);
        inUse.add(c);
        return true;
    }

    /**
     * Marks a connection as unused from now on; does nothing if it was removed.
     *
     * @param c the connection
     */
    public void release(C c) {
        if (inUse.remove(c) || unused.remove(c)) {
            unused.add(c);
        }
    }

    /**
     * Removes a connection that was closed.
     *
     * @param c the connection
     */
    public void remove(C c) {
        unused.remove(c);
        inUse.remove(c);
    }

    /**
     * Returns the open connections.
     *
     * @return a copy
     */
    public List<C> connections() {
        List<C> all = new ArrayList<>(unused);
        all.addAll(inUse);
        return all;
    }
}
