package org.lycheetray.daemon.metrics;

import java.util.ArrayList;
import java.util.List;

/** Metric name with labels, stored in the registry under a name of the form {@code name|label=value|label=value}. */
final class MetricName {
    private final String name;
    private final List<String> labels;

    private MetricName(String name, List<String> labels) {
        this.name = name;
        this.labels = labels;
    }

    static MetricName of(String name) {
        return new MetricName(name, List.of());
    }

    static MetricName parse(String registryName) {
        List<String> parts = List.of(registryName.split("\\|"));
        return new MetricName(parts.getFirst(), parts.subList(1, parts.size()));
    }

    MetricName withLabel(String label, String value) {
        List<String> extended = new ArrayList<>(labels);
        extended.add(label + "=" + value);
        return new MetricName(name, List.copyOf(extended));
    }

    String registryName() {
        return labels.isEmpty() ? name : name + "|" + String.join("|", labels);
    }

    String name() {
        return name;
    }

    String toPrometheus(String suffix) {
        if (labels.isEmpty()) {
            return name + suffix;
        }
        List<String> quoted =
                labels.stream().map(l -> l.replaceFirst("=", "=\"") + "\"").toList();
        return name + suffix + "{" + String.join(",", quoted) + "}";
    }
}
