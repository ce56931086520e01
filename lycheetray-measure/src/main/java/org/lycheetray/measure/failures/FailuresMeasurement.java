package org.lycheetray.measure.failures;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.atomic.AtomicInteger;
import org.lycheetray.core.health.RetryBudget;
import org.lycheetray.core.model.BackendServer;
import org.lycheetray.core.model.Outcome;
import org.lycheetray.core.model.Vm;
import org.lycheetray.measure.Figures;
import org.lycheetray.measure.MeasureOptions;
import org.lycheetray.measure.Measurement;
import org.lycheetray.measure.fleet.LocalFleet;
import org.lycheetray.measure.once.History;
import org.lycheetray.measure.once.HistoryChecker;
import org.lycheetray.standin.example.ExampleManifests;

/** Causes failures on real daemons, one after the other, while callers go on sending. */
public final class FailuresMeasurement implements Measurement {
    private static final String ACCOUNT = "members";
    private static final int CALLERS = 6;
    private static final Duration PHASE = Duration.ofSeconds(3);
    private static final Duration START_LIMIT = Duration.ofSeconds(30);
    private static final Duration POLL = Duration.ofMillis(100);
    private static final Duration REST = Duration.ofSeconds(12);
    private static final int POISON_SENDINGS = 12;
    private static final double LOST_ANSWERS = 0.3;
    private static final int ORDER_ONE_IN = 2;
    private static final int RESENT_AT_ONCE_ONE_IN = 10;
    private static final String POISON = "poison-marker";

    @Override
    public String name() {
        return "failures";
    }

    @Override
    public void run(MeasureOptions options, Figures figures) throws Exception {
        History history = new History();
        try (LocalFleet fleet = new LocalFleet(ExampleManifests.olwyn(), options.seed());
                FleetCaller caller = new FleetCaller(history, ExampleManifests.keyOf(ACCOUNT))) {
            fleet.submit(fleet.manifest());
            Trial trial = new Trial(fleet, caller, options.seed());
            trial.awaitReady();
            trial.poison(figures);
            trial.load("store-loses-answers", () -> fleet.platform().faults().setLostAnswerShare(LOST_ANSWERS));
            fleet.platform().faults().setLostAnswerShare(0);
            trial.load("store-down", () -> fleet.platform().faults().setDown(true));
            fleet.platform().faults().setDown(false);
            figures.add("once-answered-again-after-store-outage", trial.timeToAnswer(), "ms");
            trial.load("server-silent", () -> trial.backends.fault(trial.faultOfOne("\"silent\":true")));
            trial.backends.fault(trial.faultOfOne("\"silent\":false"));
            trial.load("no-fault", () -> {});
            Thread.sleep(REST);
            trial.report(history, figures);
        }
    }

    /** One fleet under load. */
    private static final class Trial {
        private final LocalFleet fleet;
        private final FleetCaller caller;
        private final BackendControl backends;
        private final List<Vm> vms;
        private final long seed;
        private final AtomicInteger orders = new AtomicInteger();
        private final AtomicInteger reads = new AtomicInteger();

        Trial(LocalFleet fleet, FleetCaller caller, long seed) {
            this.fleet = fleet;
            this.caller = caller;
            this.seed = seed;
            vms = fleet.manifest().vms();
            backends = new BackendControl(serversOf("archive").getFirst());
        }

        void awaitReady() throws InterruptedException {
            long end = System.nanoTime() + START_LIMIT.toNanos();
            for (Vm vm : vms) {
                while (read(vm).outcome() != Outcome.ANSWERED) {
                    if (System.nanoTime() > end) {
                        throw new IllegalStateException("step=await-ready peer=" + vm.name());
                    }
                    Thread.sleep(POLL);
                }
            }
        }

        /** One caller sends the request that crashes servers again and again, through every VM in turn. */
        void poison(Figures figures) {
            backends.fault("{\"server\":\"*\",\"crashOnBody\":\"" + POISON + "\"}");
            long before = backends.crashes();
            int quarantined = 0;
            for (int i = 0; i < POISON_SENDINGS; i++) {
                reads.incrementAndGet();
                FleetCaller.Reply r = caller.send(
                        vms.get(i % vms.size()).callerEndpoint(), "POST", "/catalogue/p", "read-poison", POISON);
                quarantined += r.reason().equals("quarantined") ? 1 : 0;
            }
            figures.atMost(
                    "servers-killed-by-one-poison-request", (double) (backends.crashes() - before), "servers", 2);
            figures.add("poison-sendings-refused-as-quarantined", quarantined, "of-12");
        }

        /** Callers send for the length of a phase under a fault. */
        void load(String phase, Runnable fault) throws InterruptedException {
            fault.run();
            long end = System.nanoTime() + PHASE.toNanos();
            List<Thread> threads = new ArrayList<>();
            for (int i = 0; i < CALLERS; i++) {
                Random random = new Random(seed * CALLERS + i + phase.hashCode());
                threads.add(Thread.ofVirtual().start(() -> callUntil(end, random)));
            }
            for (Thread t : threads) {
                t.join();
            }
        }

        double timeToAnswer() throws InterruptedException {
            long start = System.nanoTime();
            while (order(vms.getFirst(), "recovery-" + orders.incrementAndGet()).outcome() != Outcome.ANSWERED) {
                Thread.sleep(POLL);
            }
            return (System.nanoTime() - start) / 1e6;
        }

        String faultOfOne(String fault) {
            return "{\"server\":\"" + serversOf("order-desk").getFirst().name() + "\"," + fault + "}";
        }

        void report(History history, Figures figures) {
            List<BackendControl.Run> runs = backends.runs();
            long readRuns = 0;
            for (BackendControl.Run r : runs) {
                if (r.idempotencyKey().isEmpty() || r.idempotencyKey().startsWith("read-")) {
                    readRuns++;
                } else {
                    history.add(
                            new History.Execution(caller.sendingOf(r.requestId()), r.idempotencyKey(), r.requestId()));
                }
            }
            HistoryChecker.Findings f = HistoryChecker.check(onceOnly(history));
            figures.add("orders-sent", f.sent(), "requests");
            figures.atMost("double-runs", f.doubleRuns(), "keys", 0);
            figures.atMost("false-not-run", f.falseNotRun(), "requests", 0);
            figures.atMost("wrong-or-partial-answers", f.wrongAnswers(), "requests", 0);
            figures.atMost("requests-lost-without-an-answer", f.untold(), "requests", 0);
            figures.add("share-told-unknown", (double) f.unknown() / f.sent(), "ratio");
            figures.atMost(
                    "retry-amplification", (double) readRuns / reads.get(), "ratio", RetryBudget.MAX_AMPLIFICATION);
        }

        /** Reads may run more than once; only orders are judged. */
        private static History onceOnly(History all) {
            List<String> orders = all.events(History.Sent.class).stream()
                    .filter(s -> s.key().startsWith("order-"))
                    .map(History.Sent::request)
                    .toList();
            History some = new History();
            for (History.Event e : all.events()) {
                String request = switch (e) {
                    case History.Sent s -> s.request();
                    case History.Execution x -> x.request();
                    case History.Told t -> t.request();
                };
                if (orders.contains(request)) {
                    some.add(e);
                }
            }
            return some;
        }

        private void callUntil(long end, Random random) {
            while (System.nanoTime() < end) {
                Vm vm = vms.get(random.nextInt(vms.size()));
                if (random.nextInt(ORDER_ONE_IN) > 0) {
                    read(vm);
                } else {
                    orderUntilAnswered(vm, random);
                }
            }
        }

        private void orderUntilAnswered(Vm vm, Random random) {
            String key = Integer.toString(orders.incrementAndGet());
            if (random.nextInt(RESENT_AT_ONCE_ONE_IN) == 0) {
                var _ = Thread.ofVirtual().start(() -> order(vms.get(0), key));
            }
            if (order(vm, key).outcome() != Outcome.ANSWERED) {
                order(vms.get(random.nextInt(vms.size())), key);
            }
        }

        private FleetCaller.Reply order(Vm vm, String key) {
            return caller.send(vm.callerEndpoint(), "POST", "/orders/wheel", "order-" + key, "{}");
        }

        private FleetCaller.Reply read(Vm vm) {
            int n = reads.incrementAndGet();
            return caller.send(vm.callerEndpoint(), "GET", "/catalogue/rims", "read-" + n, "");
        }

        private List<BackendServer> serversOf(String service) {
            return fleet.manifest().backendServers().stream()
                    .filter(s -> s.service().value().equals(service))
                    .toList();
        }
    }
}
