package org.lycheetray.core.once;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Optional;
import org.lycheetray.core.table.Row;
import org.lycheetray.core.table.RowChange;
import org.lycheetray.core.time.MonotonicTime;

/**
 * Deletes claims with a time-based key once they are older than the claim horizon, such that a deleted key can never be
 * claimed again.
 *
 * <p>The expiry watermark is first raised above a bucket, then the rows of the bucket are deleted. Every write of
 * claims checks the watermark's revision, so a VM with a slow clock or an outdated watermark cannot write into an
 * expired bucket. The watermark rises by at most {@link #MAX_STEP_BUCKETS} buckets per bucket duration, so that a VM
 * with a fast clock cannot expire recent keys.
 *
 * <p>The class does no I/O: its methods return the {@link SweepEffect} that the caller must carry out.
 */
public final class ClaimSweeper {
    /** Maximum number of buckets by which one change raises the watermark. */
    public static final long MAX_STEP_BUCKETS = 2;

    private static final int MAX_SCANNED_ROWS = 100;

    private final MonotonicTime startTime;
    private ClaimExpiryWatermark watermark = ClaimExpiryWatermark.NONE;
    private Optional<MonotonicTime> watermarkChangedAt = Optional.empty();

    /**
     * Creates a sweeper that has not read the watermark yet.
     *
     * @param now present time
     */
    public ClaimSweeper(MonotonicTime now) {
        startTime = now;
    }

    /**
     * Starts a sweep.
     *
     * @return the first action
     */
    public SweepEffect startSweep() {
        return new SweepEffect.ReadWatermark();
    }

    /**
     * Applies the watermark row that was read and decides whether to raise the watermark or to scan for expired claims.
     *
     * @param row the row, empty if there is none
     * @param horizon time for which a claim is kept
     * @param wall wall-clock time
     * @param now present time
     * @return the next action
     */
    public SweepEffect applyWatermark(Optional<Row> row, Duration horizon, Instant wall, MonotonicTime now) {
        ClaimExpiryWatermark read = row.map(ClaimExpiryWatermark::of).orElse(ClaimExpiryWatermark.NONE);
        if (read.revision() != watermark.revision()) {
            watermark = read;
            watermarkChangedAt = Optional.of(now);
        }
        long targetBucket = wall.minus(horizon).toEpochMilli() / ClaimKey.BUCKET.toMillis() - 1;
        boolean stepAllowed = now.since(watermarkChangedAt.orElse(startTime)).compareTo(ClaimKey.BUCKET) >= 0;
        if (!stepAllowed || targetBucket <= watermark.bucket()) {
            return new SweepEffect.Scan(ClaimKey.PREFIX, MAX_SCANNED_ROWS);
        }
        boolean first = watermark.revision() == RowChange.ABSENT;
        long next = first ? targetBucket : Math.min(targetBucket, watermark.bucket() + MAX_STEP_BUCKETS);
        return new SweepEffect.RaiseWatermark(
                new RowChange.Put(ClaimExpiryWatermark.ROW, watermark.revision(), Long.toString(next)));
    }

    /**
     * Selects the expired claims from the result of a scan.
     *
     * @param rows the scanned rows, in order of their buckets
     * @return deletions, or empty if the sweep is complete
     */
    public Optional<SweepEffect> selectExpired(List<Row> rows) {
        String firstOpenPrefix = ClaimKey.bucketPrefix(watermark.bucket());
        List<RowChange> deletions = rows.stream()
                .filter(r -> r.key().value().compareTo(firstOpenPrefix) < 0)
                .<RowChange>map(r -> new RowChange.Delete(r.key(), r.revision()))
                .toList();
        return deletions.isEmpty() ? Optional.empty() : Optional.of(new SweepEffect.Delete(deletions));
    }

    /**
     * Returns the watermark that was read last.
     *
     * @return the watermark, to be passed to {@link ClaimTable#raiseWatermark}
     */
    public ClaimExpiryWatermark watermark() {
        return watermark;
    }
}
