package org.lycheetray.daemon.request;

import java.util.Optional;
import org.lycheetray.core.model.ClientAccountName;
import org.lycheetray.core.model.RequestId;
import org.lycheetray.core.model.Route;
import org.lycheetray.core.time.MonotonicTime;
import org.lycheetray.daemon.config.ActiveConfig;

/**
 * A request with its route and, unless the route is open, its authenticated client account.
 *
 * @param head the request's head
 * @param config configuration under which the request is handled
 * @param route its route
 * @param account its client account, empty on open routes
 * @param idempotencyKey its idempotency key, if it has one
 * @param deadline time at which the caller stops waiting
 */
public record RequestContext(
        RequestHead head,
        ActiveConfig config,
        Route route,
        Optional<ClientAccountName> account,
        Optional<String> idempotencyKey,
        MonotonicTime deadline) {
    /**
     * Returns the request id.
     *
     * @return the id
     */
    public RequestId id() {
        return head.id();
    }
}
