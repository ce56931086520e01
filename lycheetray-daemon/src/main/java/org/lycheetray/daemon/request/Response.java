package org.lycheetray.daemon.request;

import java.util.Optional;
import org.lycheetray.core.model.BackendServerName;
import org.lycheetray.core.model.RegionName;

/**
 * The response to the caller.
 *
 * @param content the answer of a backend server, or a refusal
 * @param limits rate-limit state of the client account, empty on open routes
 * @param region region of {@code server}, empty if there is none
 * @param server backend server of the last attempt, empty if there was none
 * @param reason reason for the choice of the server, or for the refusal
 * @param attempts number of attempts at backend servers
 */
public record Response(
        Content content,
        Optional<RateLimits> limits,
        Optional<RegionName> region,
        Optional<BackendServerName> server,
        String reason,
        int attempts) {
    /** The answer of a backend server, or a refusal. */
    public sealed interface Content {
        /**
         * An answer from a backend server.
         *
         * @param answer the answer
         */
        record Answered(Answer answer) implements Content {}

        /**
         * A refusal by the system.
         *
         * @param refusal the refusal
         */
        record Refused(Refusal refusal) implements Content {}
    }

    /**
     * Creates a response for a request that was refused before a backend server was chosen.
     *
     * @param refusal the refusal
     * @param limits rate-limit state of the client account, empty on open routes
     * @return the response
     */
    public static Response refused(Refusal refusal, Optional<RateLimits> limits) {
        return new Response(
                new Content.Refused(refusal),
                limits,
                Optional.empty(),
                Optional.empty(),
                refusal.reason().label(),
                0);
    }
}
