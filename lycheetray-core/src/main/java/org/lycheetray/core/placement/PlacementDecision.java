package org.lycheetray.core.placement;

import java.time.Duration;
import org.lycheetray.core.model.BackendServerName;
import org.lycheetray.core.registry.RegisteredServer;
import org.lycheetray.core.time.MonotonicTime;

/** The decision whether a request is sent, held or refused. */
public sealed interface PlacementDecision {
    /**
     * The request is sent to a backend server.
     *
     * @param server the server
     * @param affinity estimated cache affinity of the server with the object of the request
     * @param overdueAfter time after sending from which the response is considered overdue
     * @param reason inputs of the decision, for the log
     */
    record Send(RegisteredServer server, CacheAffinity affinity, Duration overdueAfter, String reason)
            implements PlacementDecision {
        /**
         * Returns the name of the server.
         *
         * @return the name
         */
        public BackendServerName name() {
            return server.name();
        }
    }

    /**
     * The request is held until a server has capacity.
     *
     * @param until time at which the request is refused if no server had capacity
     */
    record Hold(MonotonicTime until) implements PlacementDecision {}

    /**
     * The request is refused without being sent.
     *
     * @param reason reason for the log
     * @param retryAfter time after which capacity is likely to be available
     */
    record Refuse(String reason, Duration retryAfter) implements PlacementDecision {}
}
