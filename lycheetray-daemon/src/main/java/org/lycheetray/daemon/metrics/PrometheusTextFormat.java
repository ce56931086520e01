package org.lycheetray.daemon.metrics;

import com.codahale.metrics.MetricRegistry;
import com.codahale.metrics.Snapshot;
import com.codahale.metrics.Timer;
import java.util.HashSet;
import java.util.Locale;
import java.util.Set;
import java.util.concurrent.TimeUnit;

/** Writes the metrics of a registry in the Prometheus text format, version 0.0.4. */
public final class PrometheusTextFormat {
    private static final double[] QUANTILES = {0.5, 0.9, 0.99, 0.999};
    private static final double NANOS_PER_SECOND = TimeUnit.SECONDS.toNanos(1);

    private final StringBuilder out = new StringBuilder();
    private final Set<String> declaredNames = new HashSet<>();

    private PrometheusTextFormat() {}

    /**
     * Returns all metrics of a registry in the Prometheus text format.
     *
     * @param registry the registry
     * @return the formatted metrics
     */
    public static String write(MetricRegistry registry) {
        PrometheusTextFormat text = new PrometheusTextFormat();
        registry.getCounters().forEach((n, c) -> text.writeSample(n, "counter", (double) c.getCount()));
        registry.getGauges().forEach((n, g) -> text.writeSample(n, "gauge", ((Number) g.getValue()).doubleValue()));
        registry.getTimers().forEach(text::writeTimer);
        return text.out.toString();
    }

    private void writeSample(String registryName, String type, double value) {
        MetricName name = MetricName.parse(registryName);
        writeTypeOnce(name, type);
        writeLine(name.toPrometheus(""), value);
    }

    private void writeTimer(String registryName, Timer timer) {
        MetricName name = MetricName.parse(registryName);
        writeTypeOnce(name, "summary");
        Snapshot s = timer.getSnapshot();
        for (double q : QUANTILES) {
            writeLine(
                    name.withLabel("quantile", Double.toString(q)).toPrometheus(""), s.getValue(q) / NANOS_PER_SECOND);
        }
        writeLine(name.toPrometheus("_count"), (double) timer.getCount());
    }

    private void writeTypeOnce(MetricName name, String type) {
        if (declaredNames.add(name.name())) {
            out.append("# TYPE ").append(name.name()).append(' ').append(type).append('\n');
        }
    }

    private void writeLine(String name, double value) {
        out.append(name)
                .append(' ')
                .append(String.format(Locale.ROOT, "%.9g", value))
                .append('\n');
    }
}
