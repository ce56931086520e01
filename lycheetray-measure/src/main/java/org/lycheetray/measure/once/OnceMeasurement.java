package org.lycheetray.measure.once;

import org.lycheetray.measure.Figures;
import org.lycheetray.measure.MeasureOptions;
import org.lycheetray.measure.Measurement;

/** Runs seeded fault schedules over the decisions of running at most once and checks their histories. */
public final class OnceMeasurement implements Measurement {
    private static final int SCHEDULES = 2_000;
    private static final int GROUP_COMMIT_RATE = 500;

    @Override
    public String name() {
        return "once";
    }

    @Override
    public void run(MeasureOptions options, Figures figures) {
        Totals totals = new Totals();
        for (int i = 0; i < SCHEDULES; i++) {
            OnceSimulation simulation = new OnceSimulation(options.seed() * SCHEDULES + i, SimulatedVm::new);
            totals.add(HistoryChecker.check(simulation.run()), simulation);
        }
        totals.report(figures);
        GroupCommitRun groupCommit = new GroupCommitRun(options.seed(), GROUP_COMMIT_RATE);
        groupCommit.run();
        figures.add("claims-per-store-write-at-500-per-second", groupCommit.claimsPerWrite(), "claims");
        figures.add("store-writes-at-500-claims-per-second", groupCommit.writesPerSecond(), "writes/s");
        figures.add("claim-latency-p50", groupCommit.latencyMillis(50), "ms");
        figures.add("claim-latency-p99", groupCommit.latencyMillis(99), "ms");
    }

    /** Sums of all schedules. */
    private static final class Totals {
        private int schedules;
        private int sent;
        private int doubleRuns;
        private int falseNotRun;
        private int wrongAnswers;
        private int untold;
        private int unknown;
        private int notRunBesideRun;
        private int runs;
        private int exposed;

        void add(HistoryChecker.Findings f, OnceSimulation s) {
            schedules++;
            sent += f.sent();
            doubleRuns += f.doubleRuns();
            falseNotRun += f.falseNotRun();
            wrongAnswers += f.wrongAnswers();
            untold += f.untold();
            unknown += f.unknown();
            notRunBesideRun += f.notRunBesideRun();
            runs += s.runs();
            exposed += s.inFlightAtCrash();
        }

        void report(Figures figures) {
            figures.atLeast("schedules", schedules, "schedules", SCHEDULES);
            figures.add("requests", sent, "requests");
            figures.add("runs", runs, "runs");
            figures.atMost("double-runs", doubleRuns, "keys", 0);
            figures.atMost("false-not-run", falseNotRun, "requests", 0);
            figures.atMost("wrong-or-partial-answers", wrongAnswers, "requests", 0);
            figures.atMost("requests-told-nothing-by-a-living-vm", untold, "requests", 0);
            figures.add("share-told-unknown", (double) unknown / sent, "ratio");
            figures.add("share-in-flight-at-a-crash-or-cut", (double) exposed / sent, "ratio");
            figures.add("share-not-run-while-an-earlier-sending-ran", (double) notRunBesideRun / sent, "ratio");
        }
    }
}
