package org.lycheetray.core.ledger;

import java.time.Instant;
import java.time.temporal.ChronoUnit;
import java.util.Optional;
import org.lycheetray.core.model.ClientAccountName;
import org.lycheetray.core.model.Outcome;
import org.lycheetray.core.model.Route;
import org.lycheetray.core.model.RouteClass;

/**
 * Attributes by which requests are grouped for counting.
 *
 * @param account client account, empty for open routes and invalid keys
 * @param hour start of the hour in which the requests arrived
 * @param routeClass class of the route, empty if no route matched
 * @param outcome outcome reported to the callers
 * @param reason reason for the outcome
 */
public record LedgerKey(
        Optional<ClientAccountName> account,
        Instant hour,
        Optional<RouteClass> routeClass,
        Outcome outcome,
        String reason) {
    /**
     * Returns the key of a line.
     *
     * @param line the line
     * @return the key
     */
    public static LedgerKey of(LedgerLine line) {
        return new LedgerKey(
                line.account(),
                line.time().truncatedTo(ChronoUnit.HOURS),
                line.route().map(Route::routeClass),
                line.outcome(),
                line.reason());
    }
}
