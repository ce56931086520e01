package review;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedDeque;
import java.util.concurrent.atomic.AtomicInteger;

/** One tenant sends many times its usual: records with bodies of some megabytes, on kept connections. */
final class BodiesExhaustMemory {
    private static final int LOST_ALLOWED = 3;
    private static final int INSTANCES = 14;
    private static final int SLOTS = 6;

    /** Requests of all tenants on an ordinary day, for each machine. */
    private static final int REQUESTS_PER_S = 6;

    /** Usual requests of the tenant, for each machine, and how many times as many it sends. */
    private static final int TENANT_REQUESTS_PER_S = 4;

    private static final int HOT_FACTOR = 10;
    private static final double HOT_FROM_S = 4;
    private static final double HOT_FOR_S = 6.5;
    private static final long WORK_MS = 2_000;
    private static final int CONNECTIONS = 500;
    private static final int BODY_BYTES = 1_400_000;

    /** A client's link carries about 2 MB/s. */
    private static final int CHUNK_BYTES = 40 << 10;

    private static final long CHUNK_PAUSE_MS = 20;

    /** Timeout of the route, and the time after it in which an answer is due. */
    private static final double TIMEOUT_S = 6;

    private static final double OVERDUE_S = 0.5;

    /** Fewer requests than this say nothing about a share. */
    private static final int MIN_DUE = 8;

    private static final long DEADLINE_MS = 8_000;
    private static final double LENGTH_S = 20;

    private static final byte[] BODY = new byte[BODY_BYTES];
    private static final Map<String, String> RUN_BY = new ConcurrentHashMap<>();
    private static final AtomicInteger LOST = new AtomicInteger();
    private static final AtomicInteger DUE = new AtomicInteger();
    private static final AtomicInteger OVERDUE = new AtomicInteger();

    private BodiesExhaustMemory() {}

    public static void main(String[] args) {
        Run.main(Path.of(args[0]), BodiesExhaustMemory::run);
    }

    private static int run(Run run) throws Exception {
        Store store = run.add(new Store());
        List<String> zones = List.of("bangor", "caerdydd", "aber");
        for (int k = 0; k < INSTANCES; k++) {
            run.add(new Instance(run, store, "archive", zones.get(k % zones.size()), SLOTS, (i, m) -> {
                RUN_BY.put(m.header("X-Request-Id"), i.id);
                Run.sleepMs(WORK_MS);
                return new byte[400];
            }));
        }
        store.put("op", "config", Config.write(7, List.of(Config.KEY)));
        List<Node> nodes = new ArrayList<>();
        for (String zone : List.of("bangor", "caerdydd")) {
            Node n = run.add(new Node(run, "front-" + zone + "-1", zone, store.port()));
            n.start();
            nodes.add(n);
        }
        for (Node n : nodes) {
            n.awaitReady();
        }
        Run.sleepMs(2_000);
        double start = run.now();
        Deque<Double> times = new ConcurrentLinkedDeque<>(times(run, start, nodes.size()));
        AtomicInteger next = new AtomicInteger();
        Map<String, Integer> ends = new TreeMap<>();
        List<Thread> threads = new ArrayList<>();
        for (int k = 0; k < CONNECTIONS; k++) {
            Node n = nodes.get(k % nodes.size());
            threads.add(Thread.startVirtualThread(() -> send(run, n, times, next, ends)));
        }
        while (run.now() < start + LENGTH_S) {
            Run.sleepMs(500);
            run.note("processes: " + nodes.stream().map(n -> n.name + (n.isAlive() ? " runs" : " has ended by itself")).toList()
                    + ", answers so far: " + ends);
        }
        for (Thread t : threads) {
            t.join();
        }
        for (Node n : nodes) {
            n.noteLog("OutOfMemory", "event=stopped", "store-lost");
        }
        long ended = nodes.stream().filter(n -> !n.isAlive()).count();
        boolean lost = LOST.get() > LOST_ALLOWED;
        boolean late = DUE.get() >= MIN_DUE && 2 * OVERDUE.get() > DUE.get();
        run.verdict((late ? "CONFIG broken: " : "CONFIG held: ") + OVERDUE.get() + " of " + DUE.get()
                + " requests that were unanswered at their route's timeout had no answer half a second later");
        run.verdict((lost ? "LOST broken: " : "LOST held: ") + LOST.get()
                + " requests from kept connections were run by an instance and their connections closed without an answer");
        run.verdict(ended + " of " + nodes.size() + " processes ended by themselves");
        return lost || late ? Run.BROKEN : Run.HELD;
    }

    /** Returns when orders are sent, in seconds of the run. */
    private static List<Double> times(Run run, double start, int machines) {
        List<Double> times = new ArrayList<>();
        for (double t = 0; t < LENGTH_S; ) {
            times.add(start + t);
            boolean hot = run.trouble() && t >= HOT_FROM_S && t < HOT_FROM_S + HOT_FOR_S;
            t += 1.0 / (machines * (REQUESTS_PER_S + (hot ? (HOT_FACTOR - 1) * TENANT_REQUESTS_PER_S : 0)));
        }
        return times;
    }

    /** Sends a body at the speed of the client's link. */
    private static void upload(Client c, byte[] body) throws IOException {
        for (int sent = 0; sent < body.length; sent += CHUNK_BYTES) {
            c.socket.getOutputStream().write(body, sent, Math.min(CHUNK_BYTES, body.length - sent));
            Run.sleepMs(CHUNK_PAUSE_MS);
        }
    }

    private static void send(Run run, Node n, Deque<Double> times, AtomicInteger next, Map<String, Integer> ends) {
        Client c = null;
        while (true) {
            int number = next.getAndIncrement();
            Double at = times.poll();
            if (at == null) {
                return;
            }
            run.sleepUntil(at);
            String id = String.format("%016x", 0x9c41d07be2a50000L + number);
            String end;
            double whole = Double.MAX_VALUE;
            try {
                if (c == null) {
                    c = new Client(n.front, 0);
                    c.socket.setSoTimeout((int) DEADLINE_MS + 500);
                }
                String head = Client.head("POST", Config.HOST, Config.RECORD + "2f", id, DEADLINE_MS, Config.KEY, BODY_BYTES);
                c.write(head, new byte[0]);
                upload(c, BODY);
                whole = run.now();
                Http.Message m = c.readOrFail();
                end = "answered " + m.status();
                if (m.header("connection").equalsIgnoreCase("close")) {
                    c.close();
                    c = null;
                }
            } catch (IOException e) {
                end = e instanceof java.net.SocketTimeoutException ? "gave up" : "closed without an answer";
                if (RUN_BY.containsKey(id) && end.startsWith("closed")) {
                    LOST.incrementAndGet();
                    run.note("request " + id + ": run by " + RUN_BY.get(id) + ", its connection to " + n.name
                            + " closed without an answer: " + e.getMessage());
                }
                c = null;
            }
            double waited = run.now() - whole;
            if (waited >= TIMEOUT_S) {
                DUE.incrementAndGet();
                if (waited >= TIMEOUT_S + OVERDUE_S) {
                    OVERDUE.incrementAndGet();
                    run.note("request " + id + ": " + end + " " + String.format("%.3f", waited) + " s after its last byte");
                }
            }
            synchronized (ends) {
                ends.merge(end, 1, Integer::sum);
            }
        }
    }
}
