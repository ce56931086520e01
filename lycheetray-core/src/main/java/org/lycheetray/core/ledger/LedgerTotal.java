package org.lycheetray.core.ledger;

import java.time.Instant;
import java.util.Collections;
import java.util.Optional;
import java.util.SortedMap;
import java.util.TreeMap;
import org.lycheetray.core.model.ClientAccountName;

/**
 * Totals of one client account in one period.
 *
 * @param account client account, empty for open routes and for keys that are not valid
 * @param period start of the period
 * @param requests all requests; the three following add up to it
 * @param answered requests whose whole answer was passed on
 * @param notRun requests that were refused and have not run
 * @param unknown requests that may or may not have run
 * @param reasons number of requests for each reason, answered ones included; adds up to {@code requests}
 */
public record LedgerTotal(
        Optional<ClientAccountName> account,
        Instant period,
        long requests,
        long answered,
        long notRun,
        long unknown,
        SortedMap<String, Long> reasons) {
    /** Copies the map. */
    public LedgerTotal {
        reasons = Collections.unmodifiableSortedMap(new TreeMap<>(reasons));
    }
}
