/**
 * Request ledger: one line per request, written in numbered segments so that missing parts are detectable.
 *
 * <p>{@link org.lycheetray.core.ledger.LedgerWriter} decides when segments are sealed and stored. {@link
 * org.lycheetray.core.ledger.LedgerReport} aggregates them and reports gaps.
 */
package org.lycheetray.core.ledger;
