package org.lycheetray.daemon.metrics;

import java.util.ArrayList;
import java.util.List;

/** Builds and splits registry names of the form {@code name|label=value|label=value}. */
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

    MetricName with(String label, String value) {
        List<String> more = new ArrayList<>(labels);
        more.add(label + "=" + value);
        return new MetricName(name, List.copyOf(more));
    }

    String registryName() {
        return labels.isEmpty() ? name : name + "|" + String.join("|", labels);
    }

    String name() {
        return name;
    }

    String prometheus(String suffix) {
        if (labels.isEmpty()) {
            return name + suffix;
        }
        List<String> quoted =
                labels.stream().map(l -> l.replaceFirst("=", "=\"") + "\"").toList();
        return name + suffix + "{" + String.join(",", quoted) + "}";
    }
}
