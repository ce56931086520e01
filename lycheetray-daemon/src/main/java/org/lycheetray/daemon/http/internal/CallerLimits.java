package org.lycheetray.daemon.http.internal;

import io.netty.channel.Channel;
import java.time.Duration;
import org.lycheetray.core.time.Clock;
import org.lycheetray.daemon.limit.ConnectionLimit;
import org.lycheetray.daemon.limit.HeadBudget;
import org.lycheetray.daemon.log.LogEvent;
import org.lycheetray.daemon.log.RateLimitedLog;

/** Limits what callers hold together: connections, and the memory of the heads of their requests. Thread-safe. */
public final class CallerLimits {
    /** Share of the heap for the heads of requests. */
    private static final double HEAD_SHARE = 1.0 / 4;

    private static final Duration LOG_INTERVAL = Duration.ofMinutes(1);

    private final ConnectionLimit<CallerConnection> connections;
    private final HeadBudget heads;
    private final RateLimitedLog log;

    /**
     * Creates limits.
     *
     * @param maxConnections maximum number of connections
     * @param maxHeap largest size of the heap in bytes
     * @param clock clock for the log rate limit
     */
    public CallerLimits(int maxConnections, long maxHeap, Clock clock) {
        connections = new ConnectionLimit<>(maxConnections, CallerConnection::close);
        heads = new HeadBudget((long) (maxHeap * HEAD_SHARE));
        log = new RateLimitedLog(clock, LOG_INTERVAL);
    }

    /**
     * Adds a connection, and applies the limits to what arrives on it.
     *
     * @param channel the channel, whose pipeline is complete
     * @param maxLineBytes maximum size of the first line of a request
     * @param maxHeaderBytes maximum size of the header lines of a request together
     */
    public void add(Channel channel, int maxLineBytes, int maxHeaderBytes) {
        CallerConnection c = new CallerConnection(channel, this, heads);
        synchronized (connections) {
            connections.add(c);
        }
        c.install(maxLineBytes, maxHeaderBytes);
    }

    /** Marks a connection as in use; returns false if too many are. */
    boolean tryUse(CallerConnection c) {
        synchronized (connections) {
            return connections.tryUse(c);
        }
    }

    void release(CallerConnection c) {
        synchronized (connections) {
            connections.release(c);
        }
    }

    void remove(CallerConnection c) {
        synchronized (connections) {
            connections.remove(c);
        }
    }

    void logRefusal(String host, String cause) {
        log.logOncePerInterval(
                host,
                () -> LogEvent.of("caller-refused")
                        .with("step", "decode")
                        .with("peer", host)
                        .with("cause", cause)
                        .with("held", heads.held())
                        .warn());
    }
}
