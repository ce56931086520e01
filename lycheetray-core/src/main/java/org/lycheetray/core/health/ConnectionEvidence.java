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
 * Finds connections that have gone silent while their backend server is well.
 *
 * <p>A connection is silent when a request on it has had no byte of an answer for some time and another connection to
 * the same server has meanwhile answered a request that was sent later. Such a connection is replaced and the server
 * keeps its good name. When all connections to a server are quiet, nothing is said of any one of them: that is
 * {@link Evidence#TIMEOUT} of the server.
 */
public final class ConnectionEvidence {
    private final Duration quietLimit;
    private final Map<ConnectionId, MonotonicTime> waitingSince = new HashMap<>();
    private final Map<BackendServerName, MonotonicTime> latestAnsweredSend = new HashMap<>();

    /**
     * Creates an empty record.
     *
     * @param quietLimit time without a byte after which a connection can be called silent
     */
    public ConnectionEvidence(Duration quietLimit) {
        this.quietLimit = quietLimit;
    }

    /**
     * A connection to a backend server.
     *
     * @param server the server
     * @param id unique within the process
     */
    public record ConnectionId(BackendServerName server, String id) {}

    /**
     * Notes that a request was sent.
     *
     * @param connection the connection
     * @param now present time
     */
    public void sent(ConnectionId connection, MonotonicTime now) {
        waitingSince.putIfAbsent(connection, now);
    }

    /**
     * Notes that bytes came.
     *
     * @param connection the connection
     */
    public void received(ConnectionId connection) {
        Optional.ofNullable(waitingSince.remove(connection))
                .ifPresent(
                        sent -> latestAnsweredSend.merge(connection.server(), sent, (a, b) -> a.isBefore(b) ? b : a));
    }

    /**
     * Notes that a connection is gone.
     *
     * @param connection the connection
     */
    public void closed(ConnectionId connection) {
        waitingSince.remove(connection);
    }

    /**
     * Gives the connections that are silent.
     *
     * @param now present time
     * @return connections to replace, in no order
     */
    public List<ConnectionId> silent(MonotonicTime now) {
        List<ConnectionId> found = new ArrayList<>();
        waitingSince.forEach((connection, sent) -> {
            boolean quiet = now.since(sent).compareTo(quietLimit) >= 0;
            if (quiet && isOvertaken(connection, sent)) {
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
