package org.lycheetray.edge.exchange;

import java.time.Duration;
import java.util.Optional;
import org.lycheetray.core.model.ClientAccountName;
import org.lycheetray.core.model.ConfigVersion;
import org.lycheetray.core.model.ServiceName;

/** Receives the record of each finished request, for logs and metrics. */
@FunctionalInterface
public interface ExchangeObserver {
    /**
     * The record of a finished request.
     *
     * @param id request identifier assigned by the caller
     * @param route name of the matched route, empty if none matched
     * @param account client account, empty if none was identified
     * @param object object that the request concerns, if its route is sticky
     * @param service service selected for the request
     * @param config version of the configuration under which it was handled
     * @param status HTTP status sent to the caller, 0 if the caller disconnected first
     * @param outcome {@code answered}, or the reason why no answer was delivered
     * @param attempts for each attempt the server, the inputs of its selection and the result
     * @param duration time from the arrival of the head to the reply
     */
    record FinishedExchange(
            String id,
            Optional<String> route,
            Optional<ClientAccountName> account,
            Optional<String> object,
            Optional<ServiceName> service,
            ConfigVersion config,
            int status,
            String outcome,
            String attempts,
            Duration duration) {}

    /**
     * Records a finished request.
     *
     * @param request the finished request
     */
    void exchangeFinished(FinishedExchange request);
}
