package org.lycheetray.core.ledger;

import java.time.Instant;
import java.util.List;
import org.lycheetray.core.model.Incarnation;

/**
 * Immutable part of the ledger of one incarnation of an entry VM.
 *
 * <p>Each segment contains the number of requests recorded before it, so that the size of a missing segment can be
 * computed from its neighbours.
 *
 * @param incarnation incarnation that wrote the segment
 * @param number zero-based sequence number in the ledger of the incarnation
 * @param sealedAt time of sealing
 * @param precedingRequests number of requests recorded in all earlier segments of the incarnation
 * @param unrecordedRequests number of requests not recorded so far for lack of memory
 * @param last true if the incarnation shut down in an orderly way and wrote no further segment
 * @param lines lines in the order in which the requests ended
 * @param counts counts of requests whose lines were not kept because the object store was unavailable
 */
public record LedgerSegment(
        Incarnation incarnation,
        long number,
        Instant sealedAt,
        long precedingRequests,
        long unrecordedRequests,
        boolean last,
        List<LedgerLine> lines,
        List<LedgerCount> counts) {
    /** Makes defensive copies of the lists. */
    public LedgerSegment {
        lines = List.copyOf(lines);
        counts = List.copyOf(counts);
    }

    /**
     * Returns the number of requests in the segment.
     *
     * @return number of lines plus counted requests
     */
    public long requests() {
        return lines.size() + counts.stream().mapToLong(LedgerCount::requests).sum();
    }
}
