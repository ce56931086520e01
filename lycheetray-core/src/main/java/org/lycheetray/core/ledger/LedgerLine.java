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
 * What the ledger keeps of one request, written when the request has ended.
 *
 * @param time when the request arrived
 * @param id its identity
 * @param account its client account, empty if the route is open or the key is not valid
 * @param route route that matched, empty if none did
 * @param region region of the backend server, empty if none was used
 * @param outcome what the caller was told
 * @param reason why it was refused, or why it went where it went
 * @param config version of the configuration that decided
 * @param server backend server that was used last, empty if none
 * @param attempts attempts at backend servers
 * @param status HTTP status of the answer, 0 if none could be written
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
