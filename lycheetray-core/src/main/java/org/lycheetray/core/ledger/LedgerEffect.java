package org.lycheetray.core.ledger;

/** Action that the caller of a {@link LedgerWriter} must perform. */
public sealed interface LedgerEffect {
    /**
     * Store a segment, and report the result to the writer.
     *
     * @param name name of the object
     * @param segment content of the object
     */
    record Store(String name, LedgerSegment segment) implements LedgerEffect {}
}
