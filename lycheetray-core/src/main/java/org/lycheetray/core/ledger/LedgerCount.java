package org.lycheetray.core.ledger;

/**
 * A number of requests whose lines were not kept.
 *
 * @param key what they have in common
 * @param requests how many there were, at least 1
 */
public record LedgerCount(LedgerKey key, long requests) {}
