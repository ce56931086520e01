package org.lycheetray.core.ledger;

import java.time.Instant;
import java.time.temporal.ChronoUnit;
import java.util.Optional;
import org.lycheetray.core.model.ClientAccountName;
import org.lycheetray.core.model.Outcome;
import org.lycheetray.core.model.Route;
import org.lycheetray.core.model.RouteClass;

/**
 * What requests have in common when they are counted together.
 *
 * @param account client account, empty for open routes and for keys that are not valid
 * @param hour start of the hour in which they arrived
 * @param routeClass class of their route, empty if none matched
 * @param outcome what the callers were told
 * @param reason why
 */
public record LedgerKey(
        Optional<ClientAccountName> account,
        Instant hour,
        Optional<RouteClass> routeClass,
        Outcome outcome,
        String reason) {
    /**
     * Gives the key under which a line is counted.
     *
     * @param line the line
     * @return its key
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
