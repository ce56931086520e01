package org.lycheetray.measure.routing;

import java.time.Duration;
import java.util.List;
import java.util.SplittableRandom;
import java.util.function.Function;
import org.lycheetray.core.model.ShiftCap;
import org.lycheetray.measure.Figures;
import org.lycheetray.measure.MeasureOptions;
import org.lycheetray.measure.Measurement;

/** Compares routing policies at several loads, and shows the project's own one under faults. */
public final class RoutingMeasurement implements Measurement {
    private static final ShiftCap CAP = new ShiftCap(100, Duration.ofSeconds(10));
    private static final double CAP_SHARE = 0.1;
    private static final double P99_BOUND = 1.3;
    private static final double REFUSED_BOUND = 0.5;
    private static final double SETTLED_FACTOR = 1.5;
    private static final double FAULT_LOAD = 0.6;

    @Override
    public String name() {
        return "routing";
    }

    @Override
    public void run(MeasureOptions options, Figures figures) {
        for (Deployment d : List.of(Deployment.OLWYN, Deployment.GATOLOTE)) {
            int[] loads = options.quick() ? new int[] {80} : new int[] {60, 70, 80, 90, 95};
            for (int load : loads) {
                compare(d, load, options, figures);
            }
            faults(d, options, figures);
        }
    }

    private static void compare(Deployment d, int percent, MeasureOptions options, Figures figures) {
        Duration length = Duration.ofSeconds(options.quick() ? 60 : 200);
        String prefix = d.name() + "-" + percent + "-";
        Results known = steady(d, percent, options, length, run -> new AllKnowingPolicy(run.world));
        Results own = steady(d, percent, options, length, run -> steering(run, options));
        Results naive = steady(d, percent, options, length, run -> lagging(run, LaggingPolicy.Choice.ROUND_ROBIN));
        Results two = steady(d, percent, options, length, run -> lagging(run, LaggingPolicy.Choice.TWO_CHOICES));
        Results tokens = steady(d, percent, options, length, run -> lagging(run, LaggingPolicy.Choice.IDLE_TOKENS));
        figures.add(prefix + "all-knowing-p50", known.p(50), "ms");
        figures.add(prefix + "all-knowing-p99", known.p(99), "ms");
        figures.add(prefix + "steering-p50", own.p(50), "ms");
        figures.atMost(prefix + "steering-p99-below-round-robin", own.p(99), "ms", naive.p(99));
        figures.add(prefix + "two-choices-p99", two.p(99), "ms");
        figures.add(prefix + "idle-tokens-p99", tokens.p(99), "ms");
        if (percent == 80) {
            figures.atMost(prefix + "p99-ratio-to-all-knowing", own.p(99) / known.p(99), "ratio", P99_BOUND);
        } else {
            figures.add(prefix + "p99-ratio-to-all-knowing", own.p(99) / known.p(99), "ratio");
        }
        common(prefix, own, figures);
    }

    private static void common(String prefix, Results own, Figures figures) {
        figures.atMost(prefix + "shift-over-cap", Math.max(0, own.largestShift() - CAP_SHARE), "share", 0);
        figures.add(prefix + "largest-shift", own.largestShift(), "share");
        figures.add(prefix + "timed-out", 100.0 * own.timedOut / own.offered, "percent");
        figures.add(prefix + "refused", 100.0 * own.refused / own.offered, "percent");
        figures.atMost(
                prefix + "refused-while-room", 100.0 * own.refusedWithRoom / own.offered, "percent", REFUSED_BOUND);
    }

    private static Results steady(
            Deployment d, int percent, MeasureOptions options, Duration length, Function<RoutingRun, Policy> policy) {
        RoutingRun run = new RoutingRun(d, percent / 100.0, options.seed(), CAP.interval(), policy);
        run.run(length);
        return run.results;
    }

    private static Policy lagging(RoutingRun run, LaggingPolicy.Choice choice) {
        return new LaggingPolicy(run.world, choice, new SplittableRandom(7), run.vms());
    }

    private static Policy steering(RoutingRun run, MeasureOptions options) {
        return new SteeringPolicy(
                run.world,
                RoutingRun.vmDataCentres(run.world.deployment),
                CAP,
                run.requestsPerSecond(),
                new SplittableRandom(options.seed() + 1));
    }

    /** Partition, drain and loss of a region one after the other, then together, with misleading reports throughout. */
    private static void faults(Deployment d, MeasureOptions options, Figures figures) {
        RoutingRun run = new RoutingRun(d, FAULT_LOAD, options.seed(), CAP.interval(), r -> steering(r, options));
        World w = run.world;
        at(run, 1, () -> w.misleading = true);
        at(run, 40, () -> cut(w, 0, 1));
        at(run, 60, () -> cut(w, -1, -1));
        at(run, 80, () -> w.drained.add(2));
        at(run, 200, () -> w.drained.remove(2));
        at(run, 320, () -> w.lost.add(1));
        at(run, 360, () -> w.lost.remove(1));
        at(run, 400, () -> {
            cut(w, 0, 1);
            w.drained.add(2);
        });
        at(run, 410, () -> w.lost.add(1));
        run.run(Duration.ofSeconds(440));
        String prefix = d.name() + "-faults-";
        Results r = run.results;
        double steady = steadyP99(d, options);
        figures.atMost(prefix + "instants-over-slots", w.overloadedInstants, "instants", 0);
        common(prefix, r, figures);
        figures.add(prefix + "settled-after-partition", r.settled(40, 60, steady, SETTLED_FACTOR), "s");
        figures.add(prefix + "settled-after-drain", r.settled(80, 200, steady, SETTLED_FACTOR), "s");
        figures.add(prefix + "settled-after-return", r.settled(200, 320, steady, SETTLED_FACTOR), "s");
        figures.add(prefix + "settled-after-region-lost", r.settled(320, 360, steady, SETTLED_FACTOR), "s");
        figures.add(prefix + "settled-after-region-back", r.settled(360, 400, steady, SETTLED_FACTOR), "s");
    }

    private static double steadyP99(Deployment d, MeasureOptions options) {
        return steady(d, (int) (FAULT_LOAD * 100), options, Duration.ofMinutes(1), r -> steering(r, options))
                .p(99);
    }

    private static void at(RoutingRun run, long second, Runnable change) {
        run.at(Duration.ofSeconds(second), change);
    }

    private static void cut(World w, int a, int b) {
        w.cutA = a;
        w.cutB = b;
    }
}
