package review;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/** A request crashes each instance that begins to run it, and comes again with the same path, caller and body. */
final class CrashingRequest {
    private static final long CONTACT_MS = 3_000;
    private static final int MAX_RETRIES = 3;
    private static final int INSTANCES = 12;
    private static final long BACK_AFTER_MS = 3_000;
    private static final String PATH = Config.STOCK + "bad";

    private record Arrival(double at, String request, boolean repeated) {}

    private static final List<Arrival> ARRIVALS = new ArrayList<>();
    private static final Set<String> SEEN = new HashSet<>();
    private static final List<Double> CRASHES = new ArrayList<>();

    private CrashingRequest() {}

    public static void main(String[] args) {
        Run.main(Path.of(args[0]), CrashingRequest::run);
    }

    private static void addInstance(Run run, Store store, String service, String zone) throws IOException {
        run.add(new Instance(run, store, service, zone, 3, (i, m) -> work(run, store, zone, i, m)));
    }

    private static byte[] work(Run run, Store store, String zone, Instance i, Http.Message m) {
        String id = m.header("X-Request-Id");
        if (m.target().equals(PATH)) {
            synchronized (ARRIVALS) {
                boolean repeated = !SEEN.add(id);
                ARRIVALS.add(new Arrival(run.now(), id, repeated));
                run.note("instance " + i.id + " begins to run " + id + (repeated ? ", which was sent once more" : ""));
                if (run.trouble()) {
                    CRASHES.add(run.now());
                }
            }
            if (run.trouble()) {
                i.crash();
                Thread.startVirtualThread(() -> {
                    Run.sleepMs(BACK_AFTER_MS);
                    try {
                        addInstance(run, store, i.service, zone);
                    } catch (IOException e) {
                        run.note("no new instance: " + e);
                    }
                });
                return null;
            }
        }
        Run.sleepMs(50);
        return new byte[400];
    }

    private static int run(Run run) throws Exception {
        Store store = run.add(new Store());
        List<String> zones = List.of("bangor", "caerdydd", "aber");
        for (int k = 0; k < INSTANCES; k++) {
            addInstance(run, store, "catalogue", zones.get(k % zones.size()));
        }
        store.put("op", "config", Config.write(7, List.of(Config.KEY)));
        List<Node> nodes = new ArrayList<>();
        for (String zone : zones) {
            Node n = run.add(new Node(run, "front-" + zone + "-1", zone, store.port()));
            n.start();
            nodes.add(n);
        }
        for (Node n : nodes) {
            n.awaitReady();
        }
        Run.sleepMs(1_500);
        double end = run.now() + 24;
        Thread others = Thread.startVirtualThread(() -> {
            for (int k = 0; run.now() < end; k++) {
                ask(run, nodes.get(k % nodes.size()), Config.STOCK + "2f", String.format("%016x", 0x51d0000L + k), false);
                Run.sleepMs(60);
            }
        });
        for (int k = 0; run.now() < end - 2; k++) {
            ask(run, nodes.get(k % nodes.size()), PATH, String.format("%016x", 0xbad0000L + k), true);
            Run.sleepMs(1_500);
        }
        others.join();
        double third = CRASHES.size() < 3 ? Double.MAX_VALUE : CRASHES.get(2);
        double from = third + CONTACT_MS / 1e3;
        long retries = ARRIVALS.stream().filter(a -> a.repeated() && a.at() > from).count();
        if (run.trouble()) {
            run.note("the third instance crashed at " + String.format("%.3f", third) + " s; retries count from "
                    + String.format("%.3f", from) + " s");
        }
        run.verdict((retries > MAX_RETRIES ? "BUDGET broken: " : "BUDGET held: ") + retries
                + " retries of the request that crashes instances reached instances later than contact_ms after the third"
                + " crash; " + CRASHES.size() + " crashes in all");
        return retries > MAX_RETRIES ? Run.BROKEN : Run.HELD;
    }

    private static void ask(Run run, Node n, String path, String id, boolean note) {
        String result;
        try (Client c = new Client(n.front, 0)) {
            c.socket.setSoTimeout(3_100);
            c.send("GET", Config.HOST, path, id, 3_000, Config.KEY, new byte[0]);
            result = "answered " + c.readOrFail().status();
        } catch (IOException e) {
            result = "not answered: " + e.getMessage();
        }
        if (note) {
            run.note(n.name + " request " + id + " for " + path + ": " + result);
        }
    }
}
