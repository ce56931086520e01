package org.lycheetray.daemon.request;

import java.time.Duration;
import java.time.Instant;
import java.util.Optional;
import org.lycheetray.core.model.BackendServerName;
import org.lycheetray.core.model.ClientAccountName;
import org.lycheetray.core.model.ConfigVersion;
import org.lycheetray.core.model.Outcome;
import org.lycheetray.core.model.RegionName;
import org.lycheetray.core.model.RequestId;
import org.lycheetray.core.model.Route;

/**
 * Data of a finished request for the ledger and the metrics.
 *
 * @param receivedAt time at which the request arrived
 * @param id its request id
 * @param account its client account, empty if it is unknown or the route is open
 * @param route its route, empty if none matched
 * @param outcome outcome reported to the caller
 * @param reason reason for the refusal or for the choice of the server
 * @param configVersion version of the configuration under which it was handled
 * @param region region of {@code server}, empty if there is none
 * @param server backend server of the last attempt, empty if there was none
 * @param attempts number of attempts at backend servers
 * @param status HTTP status of the response to the caller
 * @param latency time from the arrival of the head to the end of the response
 */
public record FinishedRequest(
        Instant receivedAt,
        RequestId id,
        Optional<ClientAccountName> account,
        Optional<Route> route,
        Outcome outcome,
        String reason,
        ConfigVersion configVersion,
        Optional<RegionName> region,
        Optional<BackendServerName> server,
        int attempts,
        int status,
        Duration latency) {}
