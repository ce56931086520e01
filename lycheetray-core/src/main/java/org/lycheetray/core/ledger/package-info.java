/**
 * The ledger: one line for each request, written in numbered segments from which a missing part can be told.
 *
 * <p>{@link org.lycheetray.core.ledger.LedgerWriter} decides when segments are sealed and stored, {@link
 * org.lycheetray.core.ledger.LedgerReport} adds them up and shows what is missing.
 */
package org.lycheetray.core.ledger;
