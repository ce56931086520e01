package review;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ConcurrentHashMap;
import java.util.Set;

/**
 * All open connections to the store go silent, without a reset, while new ones work. Later than {@code contact_ms} after
 * that, a new desired state drops an API key.
 */
final class SilentStoreConnections {
    private static final long CONTACT_MS = 3_000;
    private static final long CONFIG_APPLY_MS = 2_000;

    private SilentStoreConnections() {}

    public static void main(String[] args) {
        Run.main(Path.of(args[0]), SilentStoreConnections::run);
    }

    private static int run(Run run) throws Exception {
        Store store = run.add(new Store());
        Proxy proxy = run.add(new Proxy(store.port()));
        Set<String> ran = ConcurrentHashMap.newKeySet();
        for (String service : List.of("catalogue", "orders", "archive")) {
            for (String zone : List.of("bangor", "caerdydd", "aber")) {
                run.add(new Instance(run, store, service, zone, 3, (i, m) -> {
                    ran.add(m.header("X-Request-Id"));
                    Run.sleepMs(20);
                    return new byte[400];
                }));
            }
        }
        store.put("op", "config", Config.write(7, List.of(Config.KEY, Config.KEY_TO_DROP)));
        List<Node> nodes = new ArrayList<>();
        for (String zone : List.of("bangor", "caerdydd", "aber")) {
            Node n = run.add(new Node(run, "front-" + zone + "-1", zone, proxy.port()));
            n.start();
            nodes.add(n);
        }
        for (Node n : nodes) {
            n.awaitReady();
        }
        Run.sleepMs(3_000);
        store.put("op", "config", Config.write(8, List.of(Config.KEY, Config.KEY_TO_DROP)));
        run.note("r8 is acknowledged; it holds both keys");
        Run.sleepMs(300);
        if (run.trouble()) {
            run.note(proxy.silenceOpen() + " open connections to the store go silent; new ones work");
        }
        double silent = run.now();
        run.sleepUntil(silent + CONTACT_MS / 1e3 + 0.3);
        store.put("op", "config", Config.write(9, List.of(Config.KEY)));
        double ack = run.now();
        run.note("r9 is acknowledged; it drops a key, which is bound from " + String.format("%.3f", ack + CONFIG_APPLY_MS / 1e3)
                + " s");
        int stale = 0;
        int asked = 0;
        int answered = 0;
        run.sleepUntil(ack + CONFIG_APPLY_MS / 1e3 + 0.02);
        while (run.now() < ack + 9) {
            for (Node n : nodes) {
                String id = String.format("%016x", 0x9c41d07be2a30000L + asked++);
                double sent = run.now();
                int status = ask(n, id);
                answered += status > 0 ? 1 : 0;
                boolean hasRun = ran.contains(id);
                stale += hasRun ? 1 : 0;
                run.note(n.name + " request " + id + " with the dropped key, sent at " + String.format("%.3f", sent)
                        + " s: " + (status > 0 ? "answered " + status : "not answered") + (hasRun ? ", has run" : ", not run"));
            }
            Run.sleepMs(100);
        }
        for (Node n : nodes) {
            n.noteLog("store-lost", "store-call-lost", "store-regained", "config-in-force");
        }
        if (answered == 0) {
            throw new IOException("no request was answered");
        }
        run.verdict((stale > 0 ? "CONFIG broken: " : "CONFIG held: ") + stale + " of " + asked
                + " requests with the dropped key ran, sent later than config_apply_ms after the ack");
        return stale > 0 ? Run.BROKEN : Run.HELD;
    }

    private static int ask(Node n, String id) {
        try (Client c = new Client(n.front, 0)) {
            c.socket.setSoTimeout(3_000);
            c.send("GET", Config.HOST, Config.STOCK + "2f", id, 3_000, Config.KEY_TO_DROP, new byte[0]);
            return c.readOrFail().status();
        } catch (IOException e) {
            return 0;
        }
    }
}
