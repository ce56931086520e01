package review;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/**
 * A machine gets SIGTERM while clients pipeline two safe requests; the second is answered by its instance at once, and the
 * first takes longer than the rest of the grace period.
 */
final class AnswerBehindAnotherAtStop {
    private static final int CLIENTS = 4;
    private static final long SENT_AFTER_TERM_MS = 1_300;
    private static final long LONG_WORK_MS = 5_000;
    private static final long SHORT_WORK_MS = 200;
    private static final String LONG = Config.HISTORY + "long";
    private static final String SHORT = Config.HISTORY + "short";

    private static final Map<String, Double> DONE = new ConcurrentHashMap<>();

    private AnswerBehindAnotherAtStop() {}

    public static void main(String[] args) {
        Run.main(Path.of(args[0]), AnswerBehindAnotherAtStop::run);
    }

    private static int run(Run run) throws Exception {
        Store store = run.add(new Store());
        for (String service : List.of("catalogue", "orders", "archive")) {
            for (String zone : List.of("bangor", "caerdydd")) {
                run.add(new Instance(run, store, service, zone, 6, (i, m) -> {
                    Run.sleepMs(m.target().equals(LONG) ? LONG_WORK_MS : SHORT_WORK_MS);
                    DONE.put(m.header("X-Request-Id"), run.now());
                    return new byte[400];
                }));
            }
        }
        store.put("op", "config", Config.write(7, List.of(Config.KEY)));
        Node first = run.add(new Node(run, "front-bangor-1", "bangor", store.port()));
        Node second = run.add(new Node(run, "front-caerdydd-1", "caerdydd", store.port()));
        first.start();
        second.start();
        first.awaitReady();
        second.awaitReady();
        Run.sleepMs(2_000);
        List<Client> clients = new ArrayList<>();
        for (int k = 0; k < CLIENTS; k++) {
            Client c = run.add(new Client(first.front, 0));
            c.socket.setSoTimeout(9_000);
            c.send("GET", Config.HOST, SHORT, id(k, 0), 12_000, Config.KEY, new byte[0]);
            run.note("kept connection " + k + ": " + id(k, 0) + " answered " + c.readOrFail().status());
            clients.add(c);
        }
        if (run.trouble()) {
            first.signal("TERM");
        }
        double term = run.now();
        Run.sleepMs(SENT_AFTER_TERM_MS);
        int lost = 0;
        List<Integer> sent = new ArrayList<>();
        for (int k = 0; k < CLIENTS; k++) {
            clients.get(k).send("GET", Config.HOST, LONG, id(k, 1), 12_000, Config.KEY, new byte[0]);
            clients.get(k).send("GET", Config.HOST, SHORT, id(k, 2), 12_000, Config.KEY, new byte[0]);
            sent.add(k);
            run.note("connection " + k + ": " + id(k, 1) + " and behind it " + id(k, 2) + " are sent, "
                    + String.format("%.3f", run.now() - term) + " s after the time of the SIGTERM");
        }
        for (int k : sent) {
            String end = "";
            int answers = 0;
            try {
                for (; answers < 2; answers++) {
                    end += " answered " + clients.get(k).readOrFail().status();
                }
            } catch (IOException e) {
                end += " " + e.getMessage();
            }
            String last = id(k, 2);
            boolean ran = DONE.containsKey(last);
            run.note("connection " + k + ":" + end + " at " + String.format("%.3f", run.now() - term)
                    + " s after the time of the SIGTERM; instances ended " + id(k, 1) + " "
                    + (DONE.containsKey(id(k, 1)) ? String.format("%.3f", DONE.get(id(k, 1)) - term) : "not") + ", " + last + " "
                    + (ran ? String.format("%.3f", DONE.get(last) - term) : "not"));
            if (answers < 2 && ran) {
                lost++;
            }
        }
        if (run.trouble()) {
            run.note(first.awaitExit(3_000) ? "the process has exited" : "the process still runs");
        }
        run.verdict((lost > 0 ? "LOST broken: " : "LOST held: ") + lost + " of " + CLIENTS
                + " requests were answered by their instance and their connections closed without that answer");
        return lost > 0 ? Run.BROKEN : Run.HELD;
    }

    private static String id(int connection, int number) {
        return String.format("%016x", 0x9c41d07be2a70000L + connection * 16 + number);
    }
}
