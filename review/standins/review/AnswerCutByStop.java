package review;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/** A machine gets SIGTERM while it delivers whole answers of instances to clients on slow links. */
final class AnswerCutByStop {
    private static final int ANSWER_BYTES = 20 << 20;
    private static final int CLIENTS = 1;

    /** Bytes that a client reads in each pause, so that an answer takes about 4 s. */
    private static final int BYTES_PER_PAUSE = 90 << 10;

    private static final long PAUSE_MS = 20;
    private static final int RECEIVE_BUFFER = 32 << 10;

    private AnswerCutByStop() {}

    public static void main(String[] args) {
        Run.main(Path.of(args[0]), AnswerCutByStop::run);
    }

    private static int run(Run run) throws Exception {
        Store store = run.add(new Store());
        for (String service : List.of("catalogue", "orders", "archive")) {
            for (String zone : List.of("bangor", "caerdydd")) {
                run.add(new Instance(run, store, service, zone, 6, (i, m) -> {
                    run.note("instance " + i.id + " runs " + m.header("X-Request-Id"));
                    Run.sleepMs(100);
                    return new byte[m.target().startsWith(Config.HISTORY) ? ANSWER_BYTES : 400];
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
        List<Thread> threads = new ArrayList<>();
        int[] cut = new int[1];
        int[] whole = new int[1];
        for (int i = 0; i < CLIENTS; i++) {
            String id = String.format("%016x", 0x9c41d07be2a40000L + i);
            threads.add(Thread.startVirtualThread(() -> {
                String result = ask(run, first, id);
                synchronized (cut) {
                    if (result.startsWith("whole")) {
                        whole[0]++;
                    } else {
                        cut[0]++;
                    }
                }
                run.note("request " + id + ": " + result);
            }));
        }
        Run.sleepMs(500);
        double term = run.now();
        if (run.trouble()) {
            first.signal("TERM");
        }
        for (Thread t : threads) {
            t.join();
        }
        run.note("the last answer ended " + String.format("%.3f", run.now() - term) + " s after the time of the SIGTERM");
        if (run.trouble()) {
            run.note(first.awaitExit(8_000) ? "the process has exited" : "the process still runs");
        }
        first.noteLog("event=leaving", "event=draining", "event=stopped", "event=request");
        run.verdict((cut[0] > 0 ? "LOST broken: " : "LOST held: ") + cut[0] + " of " + CLIENTS
                + " answers were cut by the machine, " + whole[0] + " were whole");
        return cut[0] > 0 ? Run.BROKEN : Run.HELD;
    }

    private static String ask(Run run, Node n, String id) {
        int got = 0;
        int length = -1;
        try (Client c = new Client(n.front, RECEIVE_BUFFER)) {
            c.socket.setSoTimeout(6_000);
            run.note("request " + id + " is sent to " + n.name);
            c.send("GET", Config.HOST, Config.HISTORY + "2f", id, 12_000, Config.KEY, new byte[0]);
            Http.Message head = Http.readHead(c.in());
            length = Integer.parseInt(head.header("content-length"));
            run.note("request " + id + ": head with status " + head.status() + ", stamp " + head.header("x-server-stamp")
                    + ", length " + length);
            while (got < length) {
                int n1 = c.in().readNBytes(Math.min(BYTES_PER_PAUSE, length - got)).length;
                got += n1;
                if (n1 == 0) {
                    return "cut: the connection ended after " + got + " of " + length + " bytes";
                }
                Run.sleepMs(PAUSE_MS);
            }
            return "whole, " + got + " bytes";
        } catch (IOException e) {
            return "cut: " + e.getMessage() + " after " + got + " of " + length + " bytes";
        }
    }
}
