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
 * @param account client account, empty for open routes and invalid keys
 * @param period start of the period
 * @param requests number of requests; the sum of the following three
 * @param answered number of requests whose complete response was forwarded
 * @param notRun number of requests that were refused and have not run
 * @param unknown number of requests that may or may not have run
 * @param reasons number of requests per reason, including answered requests; the sum is {@code requests}
 */
public record LedgerTotal(
        Optional<ClientAccountName> account,
        Instant period,
        long requests,
        long answered,
        long notRun,
        long unknown,
        SortedMap<String, Long> reasons) {
    /** Makes a defensive, unmodifiable copy of the map. */
    public LedgerTotal {
        reasons = Collections.unmodifiableSortedMap(new TreeMap<>(reasons));
    }
}
