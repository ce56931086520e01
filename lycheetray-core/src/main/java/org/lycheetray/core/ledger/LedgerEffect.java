package org.lycheetray.core.ledger;

/** What a {@link LedgerWriter} wants done. */
public sealed interface LedgerEffect {
    /**
     * Store a segment; the writer must be told how it ended.
     *
     * @param name name of the object
     * @param segment its content
     */
    record Store(String name, LedgerSegment segment) implements LedgerEffect {}
}
