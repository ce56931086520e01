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
 * Everything that the ledger and the metrics need of a request that has ended.
 *
 * @param time when the request arrived
 * @param id its identity
 * @param account its client account, empty if unknown or open
 * @param route its route, empty if none matched
 * @param outcome what the caller was told
 * @param reason reason of the refusal or of the choice of server
 * @param config version of the configuration
 * @param region region of the backend server that ran it, empty if none
 * @param server backend server that ran it or was tried last, empty if none
 * @param attempts number of attempts at backend servers
 * @param status HTTP status that the caller got
 * @param latency time from head to end
 */
public record FinishedRequest(
        Instant time,
        RequestId id,
        Optional<ClientAccountName> account,
        Optional<Route> route,
        Outcome outcome,
        String reason,
        ConfigVersion config,
        Optional<RegionName> region,
        Optional<BackendServerName> server,
        int attempts,
        int status,
        Duration latency) {}
