package org.lycheetray.review;

import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicInteger;
import org.lycheetray.soak.http.HttpMessage;
import org.lycheetray.soak.http.HttpReader;
import org.lycheetray.soak.http.Sockets;

/** Case: faulty servers break off a small part of their answers and send a second answer on the same connection. */
public final class SecondAnswer {
    private static final int VMS = 2;
    private static final int SERVERS = 5;
    private static final int FAULTY = 3;
    private static final double SPOILT_SHARE = 0.03;
    private static final double TROUBLE_S = 5;
    private static final int BODY_BYTES = 1_500;
    /** Bytes that are missing at the end of a spoilt answer. */
    private static final int MIN_MISSING = 20;
    private static final int MAX_MISSING = 60;
    private static final int LINE_PAUSE_MS = 5;
    private static final int CALLERS = 15;
    private static final int PAUSE_MS = 250;

    private final Stage stage;
    private final CaseRecord record;
    private final Random random = new Random(7);
    private final AtomicInteger ids = new AtomicInteger();
    private final AtomicInteger spoilt = new AtomicInteger();
    /** Whole bodies by stamp. */
    private final Map<String, byte[]> bodies = new ConcurrentHashMap<>();
    private final ConcurrentLinkedQueue<String> mixed = new ConcurrentLinkedQueue<>();
    private final AtomicInteger answers = new AtomicInteger();
    private volatile boolean trouble;
    private volatile boolean stopped;

    private SecondAnswer(Stage stage, CaseRecord record) {
        this.stage = stage;
        this.record = record;
    }

    public static void main(String[] args) throws Exception {
        boolean disrupted = !"0".equals(System.getenv("TROUBLE"));
        int exit = 2;
        try (CaseRecord record = new CaseRecord(Path.of(args[0]))) {
            try (Stage stage = new Stage(record)) {
                exit = new SecondAnswer(stage, record).run(disrupted);
            } catch (IOException e) {
                record.say("could not run: %s", e);
            }
        }
        System.exit(exit);
    }

    private int run(boolean disrupted) throws IOException, InterruptedException {
        stage.putConfig(Load.config("/catalogue/ safe 1500 catalogue", "/orders/ unsafe 2000 orders"));
        for (int v = 0; v < VMS; v++) {
            stage.addVm();
        }
        List<String> zones = List.copyOf(stage.zones.keySet());
        for (int i = 0; i < SERVERS; i++) {
            boolean faulty = i < FAULTY;
            stage.addBackend("catalogue", zones.get(i % zones.size()), 6, (b, s, m) -> serve(b, s, m, faulty));
            stage.addBackend("orders", zones.get(i % zones.size()), 6, (b, s, m) -> serve(b, s, m, faulty));
        }
        stage.startVms();
        List<Thread> callers = new ArrayList<>();
        for (int v = 0; v < VMS; v++) {
            int vm = v;
            for (int c = 0; c < CALLERS; c++) {
                boolean safe = c % 2 == 0;
                int offset = PAUSE_MS * c / CALLERS;
                callers.add(Thread.startVirtualThread(() -> call(vm, safe, offset)));
            }
        }
        Thread.sleep(3_000);
        if (disrupted) {
            record.say("trouble begins");
            trouble = true;
        }
        Thread.sleep((long) (TROUBLE_S * 1_000));
        trouble = false;
        record.say("trouble ends");
        Thread.sleep(2_000);
        stopped = true;
        for (Thread t : callers) {
            t.join();
        }
        record.say("answers %d, spoilt by servers %d, successes with another body than the server's: %d", answers.get(), spoilt.get(), mixed.size());
        mixed.forEach(m -> record.say("%s", m));
        record.say(mixed.isEmpty() ? "MIXED held" : "MIXED was broken");
        return mixed.isEmpty() ? 0 : 1;
    }

    private void call(int vm, boolean safe, int offsetMs) {
        Socket socket = null;
        HttpReader in = null;
        try {
            Thread.sleep(offsetMs);
            while (!stopped) {
                try {
                    if (socket == null) {
                        socket = new Socket();
                        socket.setSoTimeout(6_000);
                        socket.connect(stage.callers(vm), 1_000);
                        in = new HttpReader(socket.getInputStream());
                    }
                    String id = String.format("%016x", 0x9c41_0000_0000L + ids.incrementAndGet());
                    String head = safe
                            ? "GET /catalogue/" + id
                            : "POST /orders/" + id;
                    socket.getOutputStream().write(Sockets.bytes(head + " HTTP/1.1\r\nHost: " + Load.HOST + "\r\nX-Request-Id: " + id
                            + "\r\nX-Request-Deadline-Ms: 4000\r\n" + (safe ? "" : "Content-Length: 4\r\n") + "\r\n" + (safe ? "" : "body")));
                    HttpMessage answer = in.readResponse();
                    check(id, answer);
                    if (answer.isLast()) {
                        Sockets.close(socket);
                        socket = null;
                    }
                } catch (IOException e) {
                    record.add("client lost its connection to VM %d: %s", vm, e);
                    Sockets.close(socket);
                    socket = null;
                }
                Thread.sleep(PAUSE_MS);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } finally {
            if (socket != null) {
                Sockets.close(socket);
            }
        }
    }

    /** MIXED: a client gets a success with a body that isn't the instance's whole body. */
    private void check(String id, HttpMessage answer) {
        answers.incrementAndGet();
        String stamp = answer.header("X-Server-Stamp");
        record.add("client %s status=%d stamp=%s bytes=%d", id, answer.status(), stamp, answer.body().length);
        if (answer.status() / 100 == 2 && !Arrays.equals(answer.body(), bodies.get(stamp))) {
            byte[] body = answer.body();
            byte[] whole = bodies.getOrDefault(stamp, new byte[0]);
            int same = Arrays.mismatch(body, whole);
            mixed.add("request " + id + " got status " + answer.status() + " with stamp " + stamp + "; from byte " + same + " of " + whole.length
                    + " the body is: " + new String(body, Math.max(0, same), body.length - Math.max(0, same), StandardCharsets.ISO_8859_1)
                            .replace("\r", "\\r").replace("\n", "\\n"));
        }
    }

    private byte[] newBody(String stamp) {
        byte[] unit = ("<" + stamp + ">").getBytes(StandardCharsets.US_ASCII);
        byte[] body = new byte[BODY_BYTES];
        for (int i = 0; i < body.length; i++) {
            body[i] = unit[i % unit.length];
        }
        bodies.put(stamp, body);
        return body;
    }

    private synchronized int missing() {
        return random.nextDouble() < SPOILT_SHARE ? random.nextInt(MIN_MISSING, MAX_MISSING + 1) : 0;
    }

    private boolean serve(Backend b, Socket s, HttpMessage m, boolean faulty) throws IOException, InterruptedException {
        Thread.sleep(60);
        int missing = faulty && trouble ? missing() : 0;
        byte[] first = answer(b, m);
        OutputStream out = s.getOutputStream();
        out.write(first, 0, first.length - missing);
        out.flush();
        if (missing > 0) {
            spoilt.incrementAndGet();
            record.add("server %s breaks off its answer to %s %d bytes before the end and sends a second one", b.id, m.header("X-Request-Id"), missing);
            // The second answer is written line by line, as servers do that don't buffer heads.
            String second = new String(answer(b, m), StandardCharsets.ISO_8859_1);
            int head = second.indexOf("\r\n\r\n") + 4;
            for (int from = 0; from < head; ) {
                int to = second.indexOf("\r\n", from) + 2;
                out.write(Sockets.bytes(second.substring(from, to)));
                out.flush();
                Thread.sleep(LINE_PAUSE_MS);
                from = to;
            }
            out.write(Sockets.bytes(second.substring(head)));
            out.flush();
        }
        return true;
    }

    private byte[] answer(Backend b, HttpMessage m) {
        String stamp = b.id + "." + b.stamps.incrementAndGet();
        byte[] body = newBody(stamp);
        byte[] head = Sockets.bytes("HTTP/1.1 200 OK\r\nDate: Mon, 07 Dec 2026 01:00:00 GMT\r\nContent-Type: text/plain\r\nX-Request-Id: "
                + m.header("X-Request-Id") + "\r\nX-Server-Stamp: " + stamp + "\r\nKeep-Alive: timeout=10\r\nContent-Length: " + body.length
                + "\r\n\r\n");
        byte[] all = Arrays.copyOf(head, head.length + body.length);
        System.arraycopy(body, 0, all, head.length, body.length);
        return all;
    }
}
