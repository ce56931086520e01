package org.lycheetray.edge.backend;

import java.util.Optional;
import org.lycheetray.core.allowance.RateStatement;
import org.lycheetray.core.placement.AvailabilityStatement;
import org.lycheetray.core.registry.RegisteredServer;

/** Receives what connections to backend servers reveal about the servers apart from the results of attempts. */
public interface ServerEvents {
    /**
     * A connection was established.
     *
     * @param server the server
     */
    void connected(RegisteredServer server);

    /**
     * A connection could not be established.
     *
     * @param server the server
     */
    void notConnected(RegisteredServer server);

    /**
     * An idle connection was closed by the server before its idle timeout.
     *
     * @param server the server
     */
    void idleConnectionLost(RegisteredServer server);

    /**
     * An answer stated the rate of requests that the server accepts.
     *
     * @param server the server
     * @param statement the statement
     */
    void rateStated(RegisteredServer server, RateStatement statement);

    /**
     * An answer stated whether the server still accepts requests.
     *
     * @param server the server
     * @param requestId identifier in the answer, empty if it has none
     * @param statement the statement
     */
    void availabilityStated(RegisteredServer server, Optional<String> requestId, AvailabilityStatement statement);

    /**
     * An answer was ignored because it does not belong to the request that is running on the connection.
     *
     * @param server the server
     * @param requestId identifier of the request that is running
     * @param answeredId identifier in the answer, empty if it has none
     * @param status status of the answer
     */
    void answerIgnored(RegisteredServer server, String requestId, Optional<String> answeredId, int status);

    /**
     * Bytes arrived after a whole answer, while no other request was running on the connection.
     *
     * @param server the server
     * @param requestId identifier of the request that was answered, empty if there was none
     */
    void surplusReceived(RegisteredServer server, String requestId);

    /**
     * A connection is closed because of an unexpected error.
     *
     * @param server the server
     * @param error the error
     */
    void connectionFailed(RegisteredServer server, Throwable error);
}
