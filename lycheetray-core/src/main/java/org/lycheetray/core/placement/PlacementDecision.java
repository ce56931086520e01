package org.lycheetray.core.placement;

import java.time.Duration;
import org.lycheetray.core.model.BackendServerName;
import org.lycheetray.core.registry.RegisteredServer;
import org.lycheetray.core.time.MonotonicTime;

/** What to do with a request. */
public sealed interface PlacementDecision {
    /**
     * Send it.
     *
     * @param server where to
     * @param familiarity how well the server is taken to know the request's object
     * @param overdueAfter time since sending after which the answer has probably been lost
     * @param reason inputs that decided, for the log
     */
    record Send(RegisteredServer server, Familiarity familiarity, Duration overdueAfter, String reason)
            implements PlacementDecision {
        /**
         * The server's name.
         *
         * @return its name
         */
        public BackendServerName name() {
            return server.name();
        }
    }

    /**
     * Keep it until a server has room.
     *
     * @param until when to refuse it if none has
     */
    record Hold(MonotonicTime until) implements PlacementDecision {}

    /**
     * Refuse it now.
     *
     * @param reason why, for the log
     * @param retryAfter when room is likely
     */
    record Refuse(String reason, Duration retryAfter) implements PlacementDecision {}
}
