package org.lycheetray.core.ledger;

import java.time.Instant;
import java.util.OptionalLong;
import org.lycheetray.core.model.Incarnation;

/**
 * Missing part of the ledger.
 *
 * @param kind kind of gap
 * @param incarnation incarnation whose ledger has the gap
 * @param firstNumber number of the first missing segment
 * @param requests number of missing requests, empty if unknown
 * @param from start of the gap; no request that ended before it is missing
 * @param to end of the gap; no request that ended after it is missing
 */
public record LedgerGap(
        Kind kind, Incarnation incarnation, long firstNumber, OptionalLong requests, Instant from, Instant to) {
    /** Kind of gap. */
    public enum Kind {
        /** One or more segments before a stored segment are missing. */
        MISSING("missing segment"),
        /** The end is missing: a later incarnation of the VM has started, but this one stored no last segment. */
        UNFINISHED("ended without last segment"),
        /** The end may not be written yet: the incarnation may still be running. */
        OPEN("still open"),
        /** Requests that were not recorded for lack of memory. */
        UNRECORDED("not recorded");

        private final String label;

        Kind(String label) {
            this.label = label;
        }

        /**
         * Returns the text used in reports.
         *
         * @return the label
         */
        public String label() {
            return label;
        }
    }
}
