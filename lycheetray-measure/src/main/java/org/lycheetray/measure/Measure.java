package org.lycheetray.measure;

import java.util.List;
import org.lycheetray.measure.admission.AdmissionMeasurement;
import org.lycheetray.measure.config.ConfigMeasurement;
import org.lycheetray.measure.failures.FailuresMeasurement;
import org.lycheetray.measure.ledger.LedgerMeasurement;
import org.lycheetray.measure.lookup.LookupMeasurement;
import org.lycheetray.measure.once.OnceMeasurement;
import org.lycheetray.measure.path.PathMeasurement;
import org.lycheetray.measure.routing.RoutingMeasurement;

/** Entry point of {@code bin/measure}. */
public final class Measure {
    private static final List<Measurement> MEASUREMENTS = List.of(
            new AdmissionMeasurement(), //
            new ConfigMeasurement(), //
            new FailuresMeasurement(), //
            new LedgerMeasurement(), //
            new LookupMeasurement(), //
            new OnceMeasurement(), //
            new PathMeasurement(), //
            new RoutingMeasurement());

    private static final int EXIT_BROKEN = 1;
    private static final int EXIT_USAGE = 2;

    private Measure() {}

    /**
     * Runs the measurement named by the first argument, or all of them.
     *
     * @param args name, then optionally {@code --seed N} and {@code --quick}
     */
    public static void main(String[] args) {
        System.exit(run(List.of(args)));
    }

    private static int run(List<String> args) {
        if (args.isEmpty()) {
            return usage("a measurement must be named");
        }
        List<Measurement> chosen = MEASUREMENTS.stream()
                .filter(m -> args.getFirst().equals("all") || args.getFirst().equals(m.name()))
                .toList();
        if (chosen.isEmpty()) {
            return usage("no measurement is called " + args.getFirst());
        }
        int seedAt = args.indexOf("--seed");
        long seed = seedAt >= 0 && seedAt + 1 < args.size() ? Long.parseLong(args.get(seedAt + 1)) : 1;
        return runAll(chosen, new MeasureOptions(seed, args.contains("--quick")));
    }

    private static int runAll(List<Measurement> chosen, MeasureOptions options) {
        Figures figures = new Figures(System.out);
        boolean failed = false;
        for (Measurement m : chosen) {
            System.out.printf("# %s seed=%d%n", m.name(), options.seed());
            failed |= !runOne(m, options, figures);
        }
        return failed || figures.broken() > 0 ? EXIT_BROKEN : 0;
    }

    private static boolean runOne(Measurement m, MeasureOptions options, Figures figures) {
        try {
            m.run(options, figures);
            return true;
        } catch (Exception e) {
            System.err.printf("measurement %s failed: %s%n", m.name(), e);
            e.printStackTrace();
            return false;
        }
    }

    private static int usage(String problem) {
        System.err.println("measure: " + problem);
        System.err.println("usage: bin/measure NAME|all [--seed N] [--quick]");
        MEASUREMENTS.forEach(m -> System.err.println("  " + m.name()));
        return EXIT_USAGE;
    }
}
