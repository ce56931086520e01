package org.lycheetray.core.ledger;

import java.time.Instant;
import java.util.List;
import org.lycheetray.core.model.Incarnation;

/**
 * A part of the ledger of one life of an entry VM; stored once and never changed.
 *
 * <p>Each segment says how many requests came before it, so that the size of a missing segment can be told from its
 * neighbours.
 *
 * @param incarnation the VM's process that wrote it
 * @param number position in that process's ledger, from 0
 * @param sealedAt when it was closed
 * @param before requests that the process recorded in all segments before this one
 * @param unrecorded requests that the process could not record so far, for lack of memory
 * @param last true if the process stopped as planned and wrote nothing after it
 * @param lines lines in the order in which the requests ended
 * @param counts requests whose lines were given up while the object store was out of reach
 */
public record LedgerSegment(
        Incarnation incarnation,
        long number,
        Instant sealedAt,
        long before,
        long unrecorded,
        boolean last,
        List<LedgerLine> lines,
        List<LedgerCount> counts) {
    /** Copies the lists. */
    public LedgerSegment {
        lines = List.copyOf(lines);
        counts = List.copyOf(counts);
    }

    /**
     * Tells how many requests the segment holds.
     *
     * @return lines and counted requests together
     */
    public long requests() {
        return lines.size() + counts.stream().mapToLong(LedgerCount::requests).sum();
    }
}
