package org.lycheetray.core.ledger;

import java.time.Duration;

/**
 * When segments are sealed and how much is held in memory.
 *
 * @param segmentLines most lines in one segment, at least 1
 * @param segmentAge longest time that a line waits before its segment is sealed while the object store works
 * @param heldLines most lines held in memory; beyond it requests are only counted
 * @param retryPause pause after a failed store
 */
public record LedgerLimits(int segmentLines, Duration segmentAge, int heldLines, Duration retryPause) {
    private static final int STANDARD_SEGMENT_LINES = 10_000;
    private static final int STANDARD_HELD_LINES = 50_000;

    /** Checks the ranges. */
    public LedgerLimits {
        if (segmentLines < 1 || heldLines < segmentLines) {
            throw new IllegalArgumentException(
                    "limits out of range: %d lines in a segment, %d held".formatted(segmentLines, heldLines));
        }
    }

    /**
     * Gives the limits of an entry VM.
     *
     * @return 10,000 lines or 5 s a segment, 50,000 lines held
     */
    public static LedgerLimits standard() {
        return new LedgerLimits(
                STANDARD_SEGMENT_LINES, Duration.ofSeconds(5), STANDARD_HELD_LINES, Duration.ofSeconds(1));
    }
}
