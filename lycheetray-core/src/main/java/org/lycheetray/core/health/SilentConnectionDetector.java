package org.lycheetray.core.health;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import org.lycheetray.core.model.BackendServerName;
import org.lycheetray.core.time.MonotonicTime;

/**
 * Detects connections that no longer deliver responses although their backend server is healthy.
 *
 * <p>A connection is silent if no byte of a response to a request on it has arrived within the timeout, while another
 * connection to the same server has delivered a response to a request that was sent later. Such a connection should be
 * replaced; the health of the server is not affected. If no connection to a server delivers responses, none of them is
 * reported as silent, because that is an {@link Evidence#TIMEOUT} of the server.
 */
public final class SilentConnectionDetector {
    private final Duration silenceTimeout;
    private final Map<ConnectionId, MonotonicTime> waitingSince = new HashMap<>();
    private final Map<BackendServerName, MonotonicTime> latestAnsweredSend = new HashMap<>();

    /**
     * Creates a detector without any connections.
     *
     * @param silenceTimeout time without a byte of a response after which a connection may count as silent
     */
    public SilentConnectionDetector(Duration silenceTimeout) {
        this.silenceTimeout = silenceTimeout;
    }

    /**
     * Identifies a connection to a backend server.
     *
     * @param server name of the server
     * @param id unique within the process
     */
    public record ConnectionId(BackendServerName server, String id) {}

    /**
     * Records that a request was sent.
     *
     * @param connection the connection
     * @param now current time
     */
    public void recordSent(ConnectionId connection, MonotonicTime now) {
        waitingSince.putIfAbsent(connection, now);
    }

    /**
     * Records that bytes of a response were received.
     *
     * @param connection the connection
     */
    public void recordReceived(ConnectionId connection) {
        Optional.ofNullable(waitingSince.remove(connection))
                .ifPresent(
                        sent -> latestAnsweredSend.merge(connection.server(), sent, (a, b) -> a.isBefore(b) ? b : a));
    }

    /**
     * Records that a connection was closed.
     *
     * @param connection the connection
     */
    public void recordClosed(ConnectionId connection) {
        waitingSince.remove(connection);
    }

    /**
     * Returns the silent connections.
     *
     * @param now current time
     * @return connections that should be replaced, in no particular order
     */
    public List<ConnectionId> silentConnections(MonotonicTime now) {
        List<ConnectionId> found = new ArrayList<>();
        waitingSince.forEach((connection, sent) -> {
            boolean timedOut = now.since(sent).compareTo(silenceTimeout) >= 0;
            if (timedOut && isOvertaken(connection, sent)) {
                found.add(connection);
            }
        });
        return found;
    }

    private boolean isOvertaken(ConnectionId connection, MonotonicTime sent) {
        MonotonicTime answered = latestAnsweredSend.get(connection.server());
        return Objects.nonNull(answered) && sent.isBefore(answered);
    }
}
