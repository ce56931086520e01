package org.lycheetray.daemon.request;

import java.util.Optional;
import org.lycheetray.core.model.BackendServerName;
import org.lycheetray.core.model.RegionName;

/**
 * What the caller gets.
 *
 * @param content answer or refusal
 * @param limits state of the client account's rate, empty on open routes
 * @param region region of the backend server, empty if none was used
 * @param server backend server that was used last, empty if none
 * @param reason why it went where it went, or why it was refused
 * @param attempts number of attempts at backend servers
 */
public record Response(
        Content content,
        Optional<RateLimits> limits,
        Optional<RegionName> region,
        Optional<BackendServerName> server,
        String reason,
        int attempts) {
    /** Answer or refusal. */
    public sealed interface Content {
        /**
         * A backend server's answer.
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
     * Creates a response for a request that no backend server was chosen for.
     *
     * @param refusal the refusal
     * @param limits state of the client account's rate
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
