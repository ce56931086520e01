package org.lycheetray.measure.admission;

import java.time.Duration;
import java.util.Locale;
import org.lycheetray.measure.Figures;
import org.lycheetray.measure.MeasureOptions;
import org.lycheetray.measure.Measurement;

/** Over-admission and wrongful refusals under skewed, shifting and bursty demand, with and without faults. */
public final class AdmissionMeasurement implements Measurement {
    private static final double MAX_WRONGFUL_PERCENT = 0.1;
    private static final double MAX_WRONGFUL_PERCENT_UNDER_FAULT = 1;
    private static final int[] VM_COUNTS = {8, 11};
    private static final Duration LENGTH = Duration.ofSeconds(60);
    private static final Duration QUICK_LENGTH = Duration.ofSeconds(18);
    private static final int RUNS = 3;
    private static final double MIN_WORST_SERVED_PERCENT = 99.9;

    @Override
    public String name() {
        return "admission";
    }

    @Override
    public void run(MeasureOptions options, Figures figures) {
        for (Fault fault : Fault.values()) {
            Tally all = new Tally();
            for (DemandPattern pattern : DemandPattern.values()) {
                Tally tally = runs(pattern, fault, options);
                report(pattern + "-" + fault, tally, fault, figures);
                all.add(tally);
            }
            reportCosts(fault.toString(), all, figures);
        }
        reportFairness(options, figures);
    }

    private static void reportFairness(MeasureOptions options, Figures figures) {
        Duration length = options.quick() ? QUICK_LENGTH : LENGTH.multipliedBy(5);
        double fair = new FairnessRun(true, options.seed()).worstServedPercent(length);
        double naive = new FairnessRun(false, options.seed()).worstServedPercent(length);
        figures.atLeast("worst-served-account-answered", fair, "percent", MIN_WORST_SERVED_PERCENT);
        figures.add("worst-served-account-answered-first-come", naive, "percent");
    }

    private static Tally runs(DemandPattern pattern, Fault fault, MeasureOptions options) {
        Tally sum = new Tally();
        int count = options.quick() ? 1 : RUNS;
        for (Deployment deployment : Deployment.ALL) {
            for (int vmCount : VM_COUNTS) {
                for (int i = 0; i < count; i++) {
                    Duration length = options.quick() ? QUICK_LENGTH : LENGTH;
                    long seed = options.seed() * 1_000 + i;
                    sum.add(new AdmissionRun(deployment, vmCount, pattern, fault, seed, length).run());
                }
            }
        }
        return sum;
    }

    private static void report(String name, Tally tally, Fault fault, Figures figures) {
        String prefix = label(name);
        double bound = fault == Fault.NONE ? MAX_WRONGFUL_PERCENT : MAX_WRONGFUL_PERCENT_UNDER_FAULT;
        figures.add(prefix + "-requests", (double) tally.requests, "requests");
        figures.atMost(prefix + "-over-admitted", (double) tally.overAdmitted, "tokens", 0);
        figures.atMost(prefix + "-wrongful", tally.wrongfulPercent(), "percent", bound);
        figures.add(prefix + "-admitted-of-exact", tally.admittedPercent(), "percent");
        figures.add(prefix + "-wrongful-static-split", tally.wrongfulPercentOfSplit(), "percent");
    }

    private static void reportCosts(String name, Tally tally, Figures figures) {
        String prefix = label(name);
        figures.add(prefix + "-requests-that-waited", 100.0 * tally.waited / tally.requests, "percent");
        figures.add(prefix + "-control-messages", tally.messages / tally.vmSeconds, "messages/s/VM");
        figures.add(prefix + "-store-operations", tally.storeOperations / tally.vmSeconds, "operations/s/VM");
    }

    private static String label(String name) {
        return name.toLowerCase(Locale.ROOT).replace('_', '-');
    }
}
