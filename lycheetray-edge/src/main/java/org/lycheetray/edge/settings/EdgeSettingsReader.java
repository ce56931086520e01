package org.lycheetray.edge.settings;

import io.vavr.control.Either;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Function;
import org.lycheetray.core.allowance.FleetRetryBudget;
import org.lycheetray.core.model.DataCentreName;
import org.lycheetray.core.model.Endpoint;
import org.lycheetray.core.model.RegionName;
import org.lycheetray.core.model.VmName;
import org.lycheetray.core.quota.QuotaTolerance;
import org.lycheetray.daemon.limit.ListenerLimits;

/** Parses and validates settings, and reports all errors at once. */
public final class EdgeSettingsReader {
    private static final long MILLIS_PER_SECOND = 1_000;

    private final Map<EdgeSetting, String> values;
    private final List<String> errors = new ArrayList<>();

    private EdgeSettingsReader(Map<EdgeSetting, String> values) {
        this.values = values;
    }

    /**
     * Parses a settings file with lines {@code NAME=value}. Lines that start with {@code #} and unknown names are
     * ignored.
     *
     * @param text content of the file
     * @param overrides values that take precedence over those of the file, by setting
     * @return the settings, or one message for each error
     */
    public static Either<List<String>, EdgeSettings> read(String text, Map<EdgeSetting, String> overrides) {
        Map<EdgeSetting, String> values = new HashMap<>(parse(text));
        values.putAll(overrides);
        return new EdgeSettingsReader(values).read();
    }

    private static Map<EdgeSetting, String> parse(String text) {
        Map<String, EdgeSetting> byName = new HashMap<>();
        for (EdgeSetting s : EdgeSetting.values()) {
            byName.put(s.variableName(), s);
        }
        Map<EdgeSetting, String> values = new HashMap<>();
        text.lines().map(String::strip).filter(l -> !l.startsWith("#")).forEach(line -> {
            int equals = line.indexOf('=');
            EdgeSetting s =
                    equals < 0 ? null : byName.get(line.substring(0, equals).strip());
            if (s != null) {
                values.put(s, line.substring(equals + 1).strip());
            }
        });
        return values;
    }

    private Either<List<String>, EdgeSettings> read() {
        Optional<VmName> vm = value(EdgeSetting.VM, VmName::new);
        Optional<DataCentreName> dc = value(EdgeSetting.DATA_CENTRE, DataCentreName::new);
        Optional<Map<DataCentreName, RegionName>> regions = value(EdgeSetting.REGIONS, EdgeSettingsReader::regions);
        Optional<Endpoint> callers = endpoint(EdgeSetting.CALLERS);
        Optional<Endpoint> readiness = endpoint(EdgeSetting.READINESS);
        Optional<Endpoint> lookups = endpoint(EdgeSetting.LOOKUPS);
        Optional<Endpoint> reports = endpoint(EdgeSetting.REPORTS);
        Optional<Endpoint> metrics =
                text(EdgeSetting.METRICS).isEmpty() ? Optional.empty() : endpoint(EdgeSetting.METRICS);
        Optional<Endpoint> store = endpoint(EdgeSetting.STORE);
        Optional<Integer> memory = value(EdgeSetting.MEMORY_MB, Integer::valueOf);
        Optional<ListenerLimits> listenerLimits =
                value(EdgeSetting.MAX_DESCRIPTORS, v -> ListenerLimits.ofDescriptors(Integer.parseInt(v)));
        EdgeSettings.FleetLimits limits = fleetLimits();
        if (dc.isPresent() && regions.isPresent() && !regions.get().containsKey(dc.get())) {
            errors.add(EdgeSetting.REGIONS.variableName() + " does not name this VM's data centre " + dc.get());
        }
        if (!errors.isEmpty()) {
            return Either.left(List.copyOf(errors));
        }
        return Either.right(new EdgeSettings(
                vm.orElseThrow(),
                dc.orElseThrow(),
                regions.orElseThrow(),
                callers.orElseThrow(),
                readiness.orElseThrow(),
                lookups.orElseThrow(),
                reports.orElseThrow(),
                metrics,
                store.orElseThrow(),
                memory.orElseThrow(),
                listenerLimits.orElseThrow(),
                limits));
    }

    private EdgeSettings.FleetLimits fleetLimits() {
        return new EdgeSettings.FleetLimits(
                seconds(EdgeSetting.GRACE_S),
                seconds(EdgeSetting.LOOKUP_TTL_S),
                new FleetRetryBudget.RetryLimits(
                        nonNegativeNumber(EdgeSetting.RETRY_RATIO),
                        nonNegativeNumber(EdgeSetting.RETRY_EXTRA),
                        seconds(EdgeSetting.RETRY_WINDOW_S)),
                new QuotaTolerance(
                        seconds(EdgeSetting.QUOTA_WINDOW_S),
                        nonNegativeNumber(EdgeSetting.QUOTA_OVERAGE),
                        nonNegativeNumber(EdgeSetting.QUOTA_SLACK)),
                nonNegativeNumber(EdgeSetting.COLD_OVERAGE),
                nonNegativeNumber(EdgeSetting.COLD_SLACK),
                nonNegativeNumber(EdgeSetting.MAX_SHIFT));
    }

    private static Map<DataCentreName, RegionName> regions(String text) {
        Map<DataCentreName, RegionName> regions = new HashMap<>();
        for (String pair : text.split(",", -1)) {
            int colon = pair.indexOf(':');
            if (colon < 0) {
                throw new IllegalArgumentException("expected dc:region but was " + pair);
            }
            regions.put(
                    new DataCentreName(pair.substring(0, colon).strip()),
                    new RegionName(pair.substring(colon + 1).strip()));
        }
        return regions;
    }

    private String text(EdgeSetting s) {
        String v = values.get(s);
        return v == null || v.isEmpty() ? s.defaultValue() : v;
    }

    private Optional<Endpoint> endpoint(EdgeSetting s) {
        return value(s, Endpoint::parse);
    }

    private double nonNegativeNumber(EdgeSetting s) {
        double v = value(s, Double::valueOf).orElse(0.0);
        if (!Double.isFinite(v) || v < 0) {
            errors.add(s.variableName() + ": expected a number of at least 0 but was " + v);
        }
        return v;
    }

    private Duration seconds(EdgeSetting s) {
        return Duration.ofMillis(Math.round(nonNegativeNumber(s) * MILLIS_PER_SECOND));
    }

    private <T> Optional<T> value(EdgeSetting s, Function<String, T> parser) {
        String text = text(s);
        if (text.isEmpty()) {
            errors.add(s.variableName() + " is not set: " + s.description());
            return Optional.empty();
        }
        try {
            return Optional.of(parser.apply(text));
        } catch (IllegalArgumentException e) {
            errors.add(s.variableName() + ": " + e.getMessage());
            return Optional.empty();
        }
    }
}
