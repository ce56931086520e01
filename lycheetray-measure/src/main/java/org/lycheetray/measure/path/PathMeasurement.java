package org.lycheetray.measure.path;

import java.io.IOException;
import java.time.Duration;
import java.util.Optional;
import org.HdrHistogram.Histogram;
import org.lycheetray.measure.Figures;
import org.lycheetray.measure.MeasureOptions;
import org.lycheetray.measure.Measurement;
import org.lycheetray.measure.load.LoadClient;
import org.lycheetray.measure.load.LoadResult;
import org.lycheetray.measure.load.LoadTarget;

/**
 * Compares requests through an entry VM with direct calls to the same backend server, in turns within one run.
 *
 * <p>The processes are started by {@code bin/measure path}, which names them in system properties.
 */
public final class PathMeasurement implements Measurement {
    private static final double MAX_ADDED_MEDIAN_MS = 0.5;
    private static final double MAX_ADDED_P99_MS = 3;
    private static final double HALF = 0.5;
    private static final int CONNECTIONS = 32;
    private static final int ROUNDS = 4;
    private static final double MEDIAN = 50;
    private static final double P99 = 99;
    private static final double BYTES_PER_MIB = 1 << 20;

    @Override
    public String name() {
        return "path";
    }

    @Override
    public void run(MeasureOptions options, Figures figures) throws IOException, InterruptedException {
        Duration length = Duration.ofSeconds(options.quick() ? 2 : 5);
        LoadTarget through = new LoadTarget(property("entry"), "/keyed/x", Optional.of("measure-key"));
        LoadTarget direct = new LoadTarget(property("backend"), "/keyed/x", Optional.empty());
        ProcessProbe probe = new ProcessProbe(Long.parseLong(property("pid")));
        try (LoadClient client = new LoadClient(CONNECTIONS)) {
            warmUp(client, through, direct, length);
            double capacity = saturate(client, through, length, probe, figures);
            compare(client, through, direct, capacity * HALF, length, figures);
        }
        figures.add("resident-memory", probe.residentBytes() / BYTES_PER_MIB, "MiB");
    }

    private static void warmUp(LoadClient client, LoadTarget through, LoadTarget direct, Duration length) {
        client.closedLoop(direct, CONNECTIONS, length);
        client.closedLoop(through, CONNECTIONS, length);
        client.closedLoop(through, CONNECTIONS, length);
    }

    private static double saturate(
            LoadClient client, LoadTarget through, Duration length, ProcessProbe probe, Figures figures)
            throws IOException {
        Duration before = probe.processorTime();
        LoadResult full = client.closedLoop(through, CONNECTIONS, length);
        double cores = probe.processorTime().minus(before).toNanos() / 1e9 / full.seconds();
        figures.add("full-load", full.perSecond(), "requests/s");
        figures.add("full-load-cores", cores, "cores");
        figures.add("requests-per-core", full.perSecond() / cores, "requests/s/core");
        figures.atMost("failed-at-full-load", (double) full.failed(), "requests", 0);
        return full.perSecond();
    }

    private static void compare(
            LoadClient client, LoadTarget through, LoadTarget direct, double rate, Duration length, Figures figures)
            throws InterruptedException {
        Histogram viaVm = new Histogram(3);
        Histogram straight = new Histogram(3);
        long failed = 0;
        for (int i = 0; i < ROUNDS; i++) {
            LoadResult d = client.openLoop(direct, rate, length);
            LoadResult t = client.openLoop(through, rate, length);
            straight.add(d.latency());
            viaVm.add(t.latency());
            failed += d.failed() + t.failed();
        }
        figures.add("half-load", rate, "requests/s");
        figures.add("direct-median", straight.getValueAtPercentile(MEDIAN) / 1e6, "ms");
        figures.add("direct-p99", straight.getValueAtPercentile(P99) / 1e6, "ms");
        figures.atMost("added-median", added(viaVm, straight, MEDIAN), "ms", MAX_ADDED_MEDIAN_MS);
        figures.atMost("added-p99", added(viaVm, straight, P99), "ms", MAX_ADDED_P99_MS);
        figures.atMost("failed-at-half-load", (double) failed, "requests", 0);
    }

    private static double added(Histogram through, Histogram direct, double percentile) {
        return (through.getValueAtPercentile(percentile) - direct.getValueAtPercentile(percentile)) / 1e6;
    }

    private static String property(String name) {
        String value = System.getProperty("lycheetray.measure." + name);
        if (value == null) {
            throw new IllegalStateException("run this measurement with bin/measure path, which starts the processes");
        }
        return value;
    }
}
