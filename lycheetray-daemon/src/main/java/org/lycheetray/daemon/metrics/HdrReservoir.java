package org.lycheetray.daemon.metrics;

import com.codahale.metrics.Reservoir;
import com.codahale.metrics.Snapshot;
import com.codahale.metrics.UniformSnapshot;
import org.HdrHistogram.ConcurrentHistogram;
import org.HdrHistogram.Histogram;

/** A Dropwizard reservoir that keeps every value, to two significant digits, in an HdrHistogram. */
public final class HdrReservoir implements Reservoir {
    private static final long MAX_NANOS = 600_000_000_000L;
    private static final long MIN_NANOS = 1_000;
    private static final int DIGITS = 2;

    private final Histogram histogram = new ConcurrentHistogram(MIN_NANOS, MAX_NANOS, DIGITS);

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
        long[] values = new long[PERCENTILES];
        for (int i = 0; i < PERCENTILES; i++) {
            values[i] = histogram.getValueAtPercentile(100.0 * (i + 1) / PERCENTILES);
        }
        return new UniformSnapshot(values);
    }

    private static final int PERCENTILES = 1_000;
}
