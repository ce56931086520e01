package org.lycheetray.core.ledger;

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
 * Ledger record of one request, written when the request has ended.
 *
 * @param time arrival time of the request
 * @param id identifier of the request
 * @param account client account, empty if the route is open or the key is invalid
 * @param route matching route, empty if none matched
 * @param region region of the backend server, empty if none was used
 * @param outcome outcome reported to the caller
 * @param reason reason for the refusal, or for the choice of the region
 * @param config version of the configuration in force for the request
 * @param server backend server used last, empty if none was used
 * @param attempts number of attempts at backend servers
 * @param status HTTP status of the response, 0 if no response could be written
 */
public record LedgerLine(
        Instant time,
        RequestId id,
        Optional<ClientAccountName> account,
        Optional<Route> route,
        Optional<RegionName> region,
        Outcome outcome,
        String reason,
        ConfigVersion config,
        Optional<BackendServerName> server,
        int attempts,
        int status) {}
