package org.lycheetray.daemon.metrics;

import com.codahale.metrics.MetricRegistry;
import com.codahale.metrics.Snapshot;
import com.codahale.metrics.Timer;
import java.util.HashSet;
import java.util.Locale;
import java.util.Set;
import java.util.concurrent.TimeUnit;

/** Writes a metric registry in Prometheus' text format, version 0.0.4. */
public final class PrometheusText {
    private static final double[] QUANTILES = {0.5, 0.9, 0.99, 0.999};
    private static final double NANOS_PER_SECOND = TimeUnit.SECONDS.toNanos(1);

    private final StringBuilder out = new StringBuilder();
    private final Set<String> typed = new HashSet<>();

    private PrometheusText() {}

    /**
     * Writes all metrics.
     *
     * @param registry the registry
     * @return the page
     */
    public static String write(MetricRegistry registry) {
        PrometheusText text = new PrometheusText();
        registry.getCounters().forEach((n, c) -> text.sample(n, "counter", (double) c.getCount()));
        registry.getGauges().forEach((n, g) -> text.sample(n, "gauge", ((Number) g.getValue()).doubleValue()));
        registry.getTimers().forEach(text::timer);
        return text.out.toString();
    }

    private void sample(String registryName, String type, double value) {
        MetricName name = MetricName.parse(registryName);
        type(name, type);
        line(name.prometheus(""), value);
    }

    private void timer(String registryName, Timer timer) {
        MetricName name = MetricName.parse(registryName);
        type(name, "summary");
        Snapshot s = timer.getSnapshot();
        for (double q : QUANTILES) {
            line(name.with("quantile", Double.toString(q)).prometheus(""), s.getValue(q) / NANOS_PER_SECOND);
        }
        line(name.prometheus("_count"), (double) timer.getCount());
    }

    private void type(MetricName name, String type) {
        if (typed.add(name.name())) {
            out.append("# TYPE ").append(name.name()).append(' ').append(type).append('\n');
        }
    }

    private void line(String name, double value) {
        out.append(name)
                .append(' ')
                .append(String.format(Locale.ROOT, "%.9g", value))
                .append('\n');
    }
}
