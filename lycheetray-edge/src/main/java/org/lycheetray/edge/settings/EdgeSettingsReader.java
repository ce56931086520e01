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

/** Reads settings from text and reports everything that is wrong with them at once. */
public final class EdgeSettingsReader {
    private static final long MILLIS_PER_SECOND = 1_000;

    private final Map<EdgeSetting, String> values;
    private final List<String> errors = new ArrayList<>();

    private EdgeSettingsReader(Map<EdgeSetting, String> values) {
        this.values = values;
    }

    /**
     * Reads the lines of a settings file: {@code NAME=value}, comments with {@code #}, unknown names ignored.
     *
     * @param text content of the file
     * @param overrides values that go before the file's, by setting
     * @return the settings, or one line for each error
     */
    public static Either<List<String>, EdgeSettings> read(String text, Map<EdgeSetting, String> overrides) {
        Map<EdgeSetting, String> values = new HashMap<>(parse(text));
        values.putAll(overrides);
        return new EdgeSettingsReader(values).read();
    }

    private static Map<EdgeSetting, String> parse(String text) {
        Map<String, EdgeSetting> known = new HashMap<>();
        for (EdgeSetting s : EdgeSetting.values()) {
            known.put(s.variable(), s);
        }
        Map<EdgeSetting, String> values = new HashMap<>();
        text.lines().map(String::strip).filter(l -> !l.startsWith("#")).forEach(line -> {
            int equals = line.indexOf('=');
            EdgeSetting s =
                    equals < 0 ? null : known.get(line.substring(0, equals).strip());
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
        EdgeSettings.Bounds bounds = bounds();
        if (dc.isPresent() && regions.isPresent() && !regions.get().containsKey(dc.get())) {
            errors.add(EdgeSetting.REGIONS.variable() + " does not name this VM's data centre " + dc.get());
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
                bounds));
    }

    private EdgeSettings.Bounds bounds() {
        return new EdgeSettings.Bounds(
                seconds(EdgeSetting.GRACE_S),
                seconds(EdgeSetting.LOOKUP_TTL_S),
                new FleetRetryBudget.RetryLimits(
                        number(EdgeSetting.RETRY_RATIO),
                        number(EdgeSetting.RETRY_EXTRA),
                        seconds(EdgeSetting.RETRY_WINDOW_S)),
                new QuotaTolerance(
                        seconds(EdgeSetting.QUOTA_WINDOW_S),
                        number(EdgeSetting.QUOTA_OVERAGE),
                        number(EdgeSetting.QUOTA_SLACK)),
                number(EdgeSetting.COLD_OVERAGE),
                number(EdgeSetting.COLD_SLACK),
                number(EdgeSetting.MAX_SHIFT));
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
        return v == null || v.isEmpty() ? s.standard() : v;
    }

    private Optional<Endpoint> endpoint(EdgeSetting s) {
        return value(s, Endpoint::parse);
    }

    private double number(EdgeSetting s) {
        double v = value(s, Double::valueOf).orElse(0.0);
        if (!Double.isFinite(v) || v < 0) {
            errors.add(s.variable() + ": expected a number of at least 0 but was " + v);
        }
        return v;
    }

    private Duration seconds(EdgeSetting s) {
        return Duration.ofMillis(Math.round(number(s) * MILLIS_PER_SECOND));
    }

    private <T> Optional<T> value(EdgeSetting s, Function<String, T> parser) {
        String text = text(s);
        if (text.isEmpty()) {
            errors.add(s.variable() + " is not set: " + s.description());
            return Optional.empty();
        }
        try {
            return Optional.of(parser.apply(text));
        } catch (IllegalArgumentException e) {
            errors.add(s.variable() + ": " + e.getMessage());
            return Optional.empty();
        }
    }
}
