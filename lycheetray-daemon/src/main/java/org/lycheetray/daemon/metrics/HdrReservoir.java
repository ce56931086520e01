package org.lycheetray.daemon.metrics;

import com.codahale.metrics.Reservoir;
import com.codahale.metrics.Snapshot;
import com.codahale.metrics.UniformSnapshot;
import org.HdrHistogram.ConcurrentHistogram;
import org.HdrHistogram.Histogram;

/** Dropwizard reservoir that records every value in an HdrHistogram, with a precision of two significant digits. */
public final class HdrReservoir implements Reservoir {
    private static final long MAX_NANOS = 600_000_000_000L;
    private static final long LOWEST_DISCERNIBLE_NANOS = 1_000;
    private static final int SIGNIFICANT_DIGITS = 2;

    private final Histogram histogram =
            new ConcurrentHistogram(LOWEST_DISCERNIBLE_NANOS, MAX_NANOS, SIGNIFICANT_DIGITS);

    @Override
    public int size() {
        return (int) Math.min(Integer.MAX_VALUE, histogram.getTotalCount());
    }

    @Override
    public void update(long value) {
        histogram.recordValue(Math.clamp(value, 0, MAX_NANOS));
    }

    @Override
    public Snapshot getSnapshot() {
        long[] values = new long[SNAPSHOT_QUANTILES];
        for (int i = 0; i < SNAPSHOT_QUANTILES; i++) {
            values[i] = histogram.getValueAtPercentile(100.0 * (i + 1) / SNAPSHOT_QUANTILES);
        }
        return new UniformSnapshot(values);
    }

    private static final int SNAPSHOT_QUANTILES = 1_000;
}
