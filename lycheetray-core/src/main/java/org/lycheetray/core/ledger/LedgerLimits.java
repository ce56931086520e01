package org.lycheetray.core.ledger;

import java.time.Duration;

/**
 * Limits on the size and age of segments, and on the lines held in memory.
 *
 * @param maxSegmentLines maximum number of lines in one segment, at least 1
 * @param maxSegmentAge maximum age of an unsealed line while the object store is available
 * @param maxHeldLines maximum number of lines held in memory; further requests are only counted
 * @param retryDelay delay before a failed store operation is retried
 */
public record LedgerLimits(int maxSegmentLines, Duration maxSegmentAge, int maxHeldLines, Duration retryDelay) {
    private static final int STANDARD_SEGMENT_LINES = 10_000;
    private static final int STANDARD_HELD_LINES = 50_000;

    /** Validates the limits. */
    public LedgerLimits {
        if (maxSegmentLines < 1 || maxHeldLines < maxSegmentLines) {
            throw new IllegalArgumentException("ledger limits out of range: %d lines per segment, %d lines held"
                    .formatted(maxSegmentLines, maxHeldLines));
        }
    }

    /**
     * Returns the limits of an entry VM.
     *
     * @return limits of 10,000 lines or 5 s per segment, 50,000 held lines, and a retry delay of 1 s
     */
    public static LedgerLimits standard() {
        return new LedgerLimits(
                STANDARD_SEGMENT_LINES, Duration.ofSeconds(5), STANDARD_HELD_LINES, Duration.ofSeconds(1));
    }
}
