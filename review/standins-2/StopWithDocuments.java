package org.lycheetray.review;

import java.io.IOException;
import java.net.Socket;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import org.lycheetray.soak.http.HttpMessage;
import org.lycheetray.soak.http.HttpReader;
import org.lycheetray.soak.http.Sockets;

/** Case: a VM is stopped while callers fetch large documents. */
public final class StopWithDocuments {
    private static final int DOCUMENTS = 16;
    private static final int DOCUMENT_BYTES = 2 << 20;
    private static final int TIMEOUT_MS = 8_000;
    private static final int DEADLINE_MS = 20_000;
    private static final double REQUEST_AFTER_TERM_S = 1.8;

    private final Stage stage;
    private final CaseRecord record;
    private final Map<String, Double> answeredByServer = new ConcurrentHashMap<>();
    private final byte[] document = document();

    private StopWithDocuments(Stage stage, CaseRecord record) {
        this.stage = stage;
        this.record = record;
    }

    /** An archive of recorded answers. */
    private static byte[] document() {
        byte[] unit = Sockets.bytes("HTTP/1.1 200 OK\r\n\r\n");
        byte[] all = new byte[DOCUMENT_BYTES];
        for (int i = 0; i < all.length; i++) {
            all[i] = unit[i % unit.length];
        }
        return all;
    }

    public static void main(String[] args) throws Exception {
        boolean disrupted = !"0".equals(System.getenv("TROUBLE"));
        int exit = 2;
        try (CaseRecord record = new CaseRecord(Path.of(args[0]))) {
            try (Stage stage = new Stage(record)) {
                exit = new StopWithDocuments(stage, record).run(disrupted);
            } catch (IOException e) {
                record.say("could not run: %s", e);
            }
        }
        System.exit(exit);
    }

    private int run(boolean disrupted) throws IOException, InterruptedException {
        stage.putConfig(Load.config("/archive/ safe " + TIMEOUT_MS + " archive", "/orders/ unsafe 8000 orders"));
        stage.addVm();
        stage.addVm();
        List<String> zones = List.copyOf(stage.zones.keySet());
        for (int i = 0; i < 6; i++) {
            stage.addBackend("archive", zones.get(i % zones.size()), 6, (b, s, m) -> serve(b, s, m, document));
            stage.addBackend("orders", zones.get(i % zones.size()), 3, (b, s, m) -> serve(b, s, m, new byte[400]));
        }
        stage.startVms();
        Load load = new Load(stage);
        Load.Kind orders = new Load.Kind("/orders/", "POST", new byte[400], 8_000, 12_000);
        load.start(0, orders, 5, 500);
        Load.Kind archive = new Load.Kind("/archive/", "GET", new byte[0], TIMEOUT_MS, DEADLINE_MS);
        // Documents one after the other, from which the VM learns how long they take.
        load.start(0, archive, 1, 500);
        Thread.sleep(10_000);
        double term = record.now();
        Process p = stage.vms.get(0).process();
        if (disrupted) {
            record.say("SIGTERM to VM 0");
            stage.vms.get(0).signal("TERM");
        }
        Thread.sleep((long) (REQUEST_AFTER_TERM_S * 1_000));
        List<Thread> readers = new ArrayList<>();
        for (int c = 0; c < DOCUMENTS; c++) {
            readers.add(Thread.startVirtualThread(() -> {
                try (Socket s = new Socket()) {
                    s.connect(stage.callers(0), 1_000);
                    load.once(s, new HttpReader(s.getInputStream()), 0, archive);
                } catch (IOException e) {
                    record.add("could not connect: %s", e);
                }
            }));
        }
        // Callers use the VM no longer than their answer of the directory holds.
        Thread stop = Thread.startVirtualThread(() -> stop(load));
        long left = (long) ((term + Stage.GRACE_S - record.now()) * 1_000);
        if (disrupted && !p.waitFor(left, TimeUnit.MILLISECONDS)) {
            record.say("SIGKILL to VM 0 after the grace period");
            p.destroyForcibly();
        }
        stop.join();
        for (Thread t : readers) {
            t.join();
        }
        return judge(load, term);
    }

    private static void stop(Load load) {
        try {
            Thread.sleep(200);
            load.stop();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private boolean serve(Backend b, Socket s, HttpMessage m, byte[] body) throws IOException, InterruptedException {
        Thread.sleep(60);
        b.reply(s, m, body);
        answeredByServer.put(m.header("X-Request-Id"), record.now());
        record.add("server %s has answered %s with %d bytes", b.id, m.header("X-Request-Id"), body.length);
        return true;
    }

    /**
     * LOST: around a SIGTERM a process has read a whole request and the connection ends without a complete answer, once it
     * has been passed on to an instance, unless the instance was still at work in the last sixth of the grace period.
     */
    private int judge(Load load, double term) {
        double lastSixth = term + Stage.GRACE_S * 5 / 6.0;
        long lost = load.attempts.stream()
                .filter(a -> a.status() == 0)
                .filter(a -> answeredByServer.getOrDefault(a.id(), Double.MAX_VALUE) < lastSixth)
                .peek(a -> record.say("lost: %s %s sent %.2f s and answered by its server %.2f s after the SIGTERM", a.route(), a.id(),
                        a.sent() - term, answeredByServer.get(a.id()) - term))
                .count();
        double longest = load.attempts.stream().mapToDouble(a -> a.ended() - a.sent()).max().orElse(0);
        int[] statuses = load.attempts.stream().mapToInt(Load.Attempt::status).sorted().toArray();
        record.say("attempts %d, statuses %s, longest %.1f s, lost %d", statuses.length, Arrays.toString(Arrays.stream(statuses).distinct().toArray()), longest, lost);
        record.say(lost > 0 ? "LOST was broken" : "LOST held");
        return lost > 0 ? 1 : 0;
    }
}
