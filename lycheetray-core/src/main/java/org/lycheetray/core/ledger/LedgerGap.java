package org.lycheetray.core.ledger;

import java.time.Instant;
import java.util.OptionalLong;
import org.lycheetray.core.model.Incarnation;

/**
 * A part of the ledger that is not there.
 *
 * @param kind what is missing
 * @param incarnation the process whose ledger it is
 * @param firstNumber number of the first missing segment
 * @param requests requests that are missing, empty if that cannot be told
 * @param from nothing that arrived and ended before is missing
 * @param to nothing that ended after is missing
 */
public record LedgerGap(
        Kind kind, Incarnation incarnation, long firstNumber, OptionalLong requests, Instant from, Instant to) {
    /** What is missing. */
    public enum Kind {
        /** Segments between two that are there. */
        MISSING("missing segment"),
        /** The end: a later process of the same VM has started, but this one left no last segment. */
        UNFINISHED("ended without last segment"),
        /** The end, which may not be written yet: the process may still run. */
        OPEN("still open"),
        /** Requests that the process could not record for lack of memory. */
        UNRECORDED("not recorded");

        private final String label;

        Kind(String label) {
            this.label = label;
        }

        /**
         * Gives the text used in reports.
         *
         * @return the label
         */
        public String label() {
            return label;
        }
    }
}
