package org.lycheetray.measure.config;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.json.JsonMapper;
import java.io.IOException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Callable;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.function.Predicate;
import org.lycheetray.core.model.ClientAccount;
import org.lycheetray.core.model.ConfigVersion;
import org.lycheetray.core.model.KeyHash;
import org.lycheetray.core.model.Manifest;
import org.lycheetray.core.model.Vm;
import org.lycheetray.measure.Figures;
import org.lycheetray.measure.MeasureOptions;
import org.lycheetray.measure.Measurement;
import org.lycheetray.measure.fleet.LocalFleet;
import org.lycheetray.standin.example.ExampleManifests;

/**
 * Time until a change is in force on every VM, and until a withdrawn key stops on connections held open.
 *
 * <p>Then the platform's store goes down for longer than a VM trusts keys without evidence; keyed requests have to go on.
 */
public final class ConfigMeasurement implements Measurement {
    private static final double BOUND_SECONDS = 2;
    private static final Duration GIVE_UP = Duration.ofSeconds(20);
    private static final Duration OUTAGE = Duration.ofSeconds(18);
    private static final Duration PAUSE = Duration.ofMillis(5);
    private static final Duration CALM = Duration.ofMillis(700);
    private static final String READ_PATH = "/catalogue/1";
    private static final String STAYING_KEY = "key-that-stays";
    private static final int UNAUTHORIZED = 401;
    private static final int OK = 200;
    private static final int QUICK_CHANGES = 5;
    private static final int CHANGES = 30;
    private static final double NANOS = 1e9;
    private static final JsonMapper JSON = new JsonMapper();

    @Override
    public String name() {
        return "config";
    }

    @Override
    public void run(MeasureOptions options, Figures figures) throws Exception {
        try (LocalFleet fleet = new LocalFleet(ExampleManifests.olwyn(), options.seed());
                ExecutorService threads = Executors.newVirtualThreadPerTaskExecutor()) {
            int changes = options.quick() ? QUICK_CHANGES : CHANGES;
            awaitVersion(fleet, fleet.submit(withKeys(fleet, List.of(STAYING_KEY))));
            awaitVoters(fleet);
            List<Double> inForce = new ArrayList<>();
            List<Double> withdrawn = new ArrayList<>();
            for (int i = 0; i < changes; i++) {
                String key = "key-" + options.seed() + "-" + i;
                inForce.add(issue(fleet, key));
                Thread.sleep(CALM.plusMillis(37L * i));
                withdrawn.add(withdraw(threads, fleet, key));
                Thread.sleep(CALM);
            }
            report(figures, "in-force-everywhere", inForce);
            report(figures, "withdrawn-key-stops-everywhere", withdrawn);
            figures.atMost("keyed-refusals-while-store-is-down", outage(threads, fleet), "requests", 0);
        }
    }

    private static double issue(LocalFleet fleet, String key) throws Exception {
        long start = System.nanoTime();
        ConfigVersion version = fleet.submit(withKeys(fleet, List.of(STAYING_KEY, key)));
        awaitVersion(fleet, version);
        return (System.nanoTime() - start) / NANOS;
    }

    /** Withdraws a key while one connection to each VM keeps using it; gives the time of the last request that ran. */
    private static double withdraw(ExecutorService threads, LocalFleet fleet, String key) throws Exception {
        List<HeldConnection> held = new ArrayList<>();
        for (Vm vm : fleet.manifest().vms()) {
            HeldConnection c = new HeldConnection(vm.callerEndpoint());
            held.add(c);
            if (c.get(READ_PATH, key).status() == UNAUTHORIZED) {
                throw new IllegalStateException("the key does not work at " + vm.name());
            }
        }
        long start = System.nanoTime();
        Future<ConfigVersion> submission = threads.submit(() -> fleet.submit(withKeys(fleet, List.of(STAYING_KEY))));
        List<Callable<Double>> users = held.stream()
                .map(c -> (Callable<Double>) () -> useUntilRefused(c, key, start))
                .toList();
        double last = 0;
        for (Future<Double> f : threads.invokeAll(users)) {
            last = Math.max(last, f.get());
        }
        awaitVersion(fleet, submission.get());
        for (HeldConnection c : held) {
            if (c.get(READ_PATH, key).status() != UNAUTHORIZED) {
                throw new IllegalStateException("a withdrawn key works again");
            }
            c.close();
        }
        return last;
    }

    private static double useUntilRefused(HeldConnection c, String key, long start) throws Exception {
        while (c.get(READ_PATH, key).status() != UNAUTHORIZED) {
            if (System.nanoTime() - start > GIVE_UP.toNanos()) {
                throw new IllegalStateException("a withdrawn key still works after " + GIVE_UP);
            }
            Thread.sleep(PAUSE);
        }
        return (System.nanoTime() - start) / NANOS;
    }

    private static double outage(ExecutorService threads, LocalFleet fleet) throws Exception {
        fleet.platform().faults().setDown(true);
        List<Callable<Long>> users = fleet.manifest().vms().stream()
                .map(vm -> (Callable<Long>) () -> refusals(vm))
                .toList();
        long refused = 0;
        for (Future<Long> f : threads.invokeAll(users)) {
            refused += f.get();
        }
        fleet.platform().faults().setDown(false);
        return refused;
    }

    private static long refusals(Vm vm) throws Exception {
        long refused = 0;
        long end = System.nanoTime() + OUTAGE.toNanos();
        try (HeldConnection c = new HeldConnection(vm.callerEndpoint())) {
            while (System.nanoTime() < end) {
                if (c.get(READ_PATH, STAYING_KEY).status() != OK) {
                    refused++;
                }
                Thread.sleep(CALM);
            }
        }
        return refused;
    }

    private static void awaitVersion(LocalFleet fleet, ConfigVersion version) throws Exception {
        for (Vm vm : fleet.manifest().vms()) {
            await(vm, status -> status.path("version").asLong() >= version.number());
        }
    }

    private static void awaitVoters(LocalFleet fleet) throws Exception {
        for (Vm vm : fleet.manifest().vms()) {
            await(vm, status -> status.path("voter").asBoolean());
        }
    }

    private static void await(Vm vm, Predicate<JsonNode> until) throws Exception {
        long end = System.nanoTime() + GIVE_UP.toNanos();
        while (!until.test(configStatus(vm))) {
            if (System.nanoTime() > end) {
                throw new IllegalStateException("waited in vain for " + vm.name() + ": " + configStatus(vm));
            }
            Thread.sleep(PAUSE);
        }
    }

    private static JsonNode configStatus(Vm vm) throws IOException {
        try (HeldConnection c = new HeldConnection(vm.callerEndpoint())) {
            return JSON.readTree(c.get("/statusz", "none").body()).path("config");
        }
    }

    private static Manifest withKeys(LocalFleet fleet, List<String> keys) {
        List<ClientAccount> accounts = new ArrayList<>(fleet.manifest().clientAccounts());
        ClientAccount first = accounts.getFirst();
        List<KeyHash> hashes = keys.stream().map(KeyHash::of).toList();
        accounts.set(0, new ClientAccount(first.name(), hashes, first.rate(), first.weight()));
        return fleet.with(accounts);
    }

    private static void report(Figures figures, String figure, List<Double> seconds) {
        List<Double> sorted = seconds.stream().sorted().toList();
        figures.add(figure + "-median", sorted.get(sorted.size() / 2), "s");
        figures.atMost(figure + "-worst", sorted.getLast(), "s", BOUND_SECONDS);
    }
}
