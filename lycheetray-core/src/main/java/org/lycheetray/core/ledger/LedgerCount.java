package org.lycheetray.core.ledger;

/**
 * Number of requests that were counted without keeping their lines.
 *
 * @param key common attributes of the requests
 * @param requests number of requests, at least 1
 */
public record LedgerCount(LedgerKey key, long requests) {}
