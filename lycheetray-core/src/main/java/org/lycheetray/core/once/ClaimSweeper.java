package org.lycheetray.core.once;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Optional;
import org.lycheetray.core.table.Row;
import org.lycheetray.core.table.RowChange;
import org.lycheetray.core.time.MonotonicTime;

/**
 * Deletes dated claims after the horizon without ever opening a key again.
 *
 * <p>First the floor is raised past a bucket, then the bucket's rows are deleted. Every write of claims checks the
 * floor's revision, so that a VM whose clock or knowledge is behind cannot write into a closed bucket. The floor moves
 * at most {@link #MAX_STEP} buckets in the time that one bucket spans, so that a VM whose clock runs ahead cannot expire
 * the keys of today.
 */
public final class ClaimSweeper {
    /** Most buckets by which one change raises the floor. */
    public static final long MAX_STEP = 2;

    private static final int SCAN_LIMIT = 100;

    private final MonotonicTime started;
    private ClaimFloor floor = ClaimFloor.NONE;
    private Optional<MonotonicTime> floorSeen = Optional.empty();

    /**
     * Creates a sweeper that knows no floor yet.
     *
     * @param now present time
     */
    public ClaimSweeper(MonotonicTime now) {
        started = now;
    }

    /**
     * Begins a round.
     *
     * @return the first step
     */
    public SweepEffect begin() {
        return new SweepEffect.ReadFloor();
    }

    /**
     * Takes the floor as it was read.
     *
     * @param row the row, empty if there is none
     * @param horizon how long a key is remembered
     * @param wall wall-clock time
     * @param now present time
     * @return the next step
     */
    public SweepEffect floorRead(Optional<Row> row, Duration horizon, Instant wall, MonotonicTime now) {
        ClaimFloor read = row.map(ClaimFloor::of).orElse(ClaimFloor.NONE);
        if (read.revision() != floor.revision()) {
            floor = read;
            floorSeen = Optional.of(now);
        }
        long target = wall.minus(horizon).toEpochMilli() / ClaimKey.BUCKET.toMillis() - 1;
        boolean rested = now.since(floorSeen.orElse(started)).compareTo(ClaimKey.BUCKET) >= 0;
        if (!rested || target <= floor.bucket()) {
            return new SweepEffect.Scan(ClaimKey.PREFIX, SCAN_LIMIT);
        }
        boolean first = floor.revision() == RowChange.ABSENT;
        long next = first ? target : Math.min(target, floor.bucket() + MAX_STEP);
        return new SweepEffect.RaiseFloor(new RowChange.Put(ClaimFloor.ROW, floor.revision(), Long.toString(next)));
    }

    /**
     * Takes the first claims in order of their buckets.
     *
     * @param rows rows of a scan
     * @return deletions, or empty if the round is over
     */
    public Optional<SweepEffect> scanned(List<Row> rows) {
        String open = ClaimKey.bucketPrefix(floor.bucket());
        List<RowChange> deletions = rows.stream()
                .filter(r -> r.key().value().compareTo(open) < 0)
                .<RowChange>map(r -> new RowChange.Delete(r.key(), r.revision()))
                .toList();
        return deletions.isEmpty() ? Optional.empty() : Optional.of(new SweepEffect.Delete(deletions));
    }

    /**
     * Gives the floor that was read last.
     *
     * @return the floor, to be passed to {@link ClaimTable#raiseFloor}
     */
    public ClaimFloor floor() {
        return floor;
    }
}
