package org.lycheetray.edge.exchange;

import java.time.Duration;
import java.util.Optional;
import org.lycheetray.core.model.ClientAccountName;
import org.lycheetray.core.model.ConfigVersion;
import org.lycheetray.core.model.ServiceName;

/** Takes each request once it is over. */
@FunctionalInterface
public interface ExchangeObserver {
    /**
     * A request that is over.
     *
     * @param id the caller's identity of it
     * @param route name of its route
     * @param account its client account
     * @param object what it concerns, if its route is sticky
     * @param service service that it was assigned to
     * @param config version of the configuration under which it was handled
     * @param status status that the caller got, 0 if the caller left before
     * @param outcome {@code answered}, or why it was not
     * @param attempts each attempt: server, inputs of the choice, how it ended
     * @param took time from the head to the answer
     */
    record Finished(
            String id,
            Optional<String> route,
            Optional<ClientAccountName> account,
            Optional<String> object,
            Optional<ServiceName> service,
            ConfigVersion config,
            int status,
            String outcome,
            String attempts,
            Duration took) {}

    /**
     * Takes a finished request.
     *
     * @param request the request
     */
    void finished(Finished request);
}
