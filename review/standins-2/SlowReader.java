package org.lycheetray.review;

import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicReference;
import org.lycheetray.soak.http.HttpMessage;
import org.lycheetray.soak.http.Sockets;

/** Case: a VM is stopped while callers on slow links use their kept connections. */
public final class SlowReader {
    private static final int CALLERS = 1;
    private static final int ANSWER_BYTES = 20_000_000;
    private static final int PIECE_BYTES = 90_000;
    private static final int PIECE_MS = 20;
    private static final int TIMEOUT_MS = 12_000;
    private static final int DEADLINE_MS = 20_000;
    private static final double REQUEST_AFTER_TERM_S = 1.8;

    /** How one request ended: bytes of the body, whether it was complete, and the times. */
    private record End(String id, double sent, double ended, int status, long bytes, boolean complete) {}

    private final Stage stage;
    private final CaseRecord record;
    private final ConcurrentLinkedQueue<End> ends = new ConcurrentLinkedQueue<>();
    private final ConcurrentLinkedQueue<Double> answeredByServer = new ConcurrentLinkedQueue<>();

    private SlowReader(Stage stage, CaseRecord record) {
        this.stage = stage;
        this.record = record;
    }

    public static void main(String[] args) throws Exception {
        boolean disrupted = !"0".equals(System.getenv("TROUBLE"));
        int exit = 2;
        try (CaseRecord record = new CaseRecord(Path.of(args[0]))) {
            try (Stage stage = new Stage(record)) {
                exit = new SlowReader(stage, record).run(disrupted);
            } catch (IOException e) {
                record.say("could not run: %s", e);
            }
        }
        System.exit(exit);
    }

    private int run(boolean disrupted) throws IOException, InterruptedException {
        stage.putConfig(Load.config("/archive/ safe " + TIMEOUT_MS + " archive"));
        stage.addVm();
        stage.addVm();
        List<String> zones = List.copyOf(stage.zones.keySet());
        for (int i = 0; i < 6; i++) {
            stage.addBackend("archive", zones.get(i % zones.size()), 6, this::serve);
        }
        stage.startVms();
        AtomicReference<Double> term = new AtomicReference<>();
        List<Thread> callers = new ArrayList<>();
        List<Socket> kept = new ArrayList<>();
        for (int c = 0; c < CALLERS; c++) {
            Socket s = new Socket();
            s.setReceiveBufferSize(64 << 10);
            s.connect(stage.callers(0), 1_000);
            kept.add(s);
            read(s, "first-" + c, 2_000);
        }
        double stop = record.now() + 1;
        while (record.now() < stop) {
            Thread.sleep(10);
        }
        if (disrupted) {
            record.say("SIGTERM to VM 0");
            stage.vms.get(0).signal("TERM");
            Thread.startVirtualThread(() -> killAfterGrace(stage.vms.get(0).process()));
        }
        for (int c = 0; c < CALLERS; c++) {
            Socket s = kept.get(c);
            String id = "slow-" + c;
            callers.add(Thread.startVirtualThread(() -> {
                while (record.now() < stop + REQUEST_AFTER_TERM_S) {
                    sleep(10);
                }
                read(s, id, ANSWER_BYTES);
            }));
        }
        for (Thread t : callers) {
            t.join();
        }
        return judge(stop);
    }

    /** The platform sends SIGKILL when the grace period is over. */
    private void killAfterGrace(Process p) {
        sleep(Stage.GRACE_S * 1_000);
        if (p.isAlive()) {
            record.add("SIGKILL to VM 0");
            p.destroyForcibly();
        }
    }

    private static void sleep(long ms) {
        try {
            Thread.sleep(ms);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Sends a request and reads the answer at the speed of a slow link. */
    private void read(Socket s, String id, int bytes) {
        double sent = record.now();
        int status = 0;
        long got = 0;
        long length = -1;
        try {
            s.setSoTimeout(DEADLINE_MS);
            s.getOutputStream().write(Sockets.bytes("GET /archive/" + bytes + " HTTP/1.1\r\nHost: " + Load.HOST + "\r\nX-Request-Id: " + id
                    + "\r\nX-Request-Deadline-Ms: " + DEADLINE_MS + "\r\n\r\n"));
            InputStream in = s.getInputStream();
            StringBuilder head = new StringBuilder();
            while (head.indexOf("\r\n\r\n") < 0) {
                int b = in.read();
                if (b < 0) {
                    throw new IOException("end of connection in the head");
                }
                head.append((char) b);
            }
            status = Integer.parseInt(head.substring(9, 12));
            for (String line : head.toString().split("\r\n")) {
                if (line.toLowerCase().startsWith("content-length:")) {
                    length = Long.parseLong(line.substring(15).strip());
                }
            }
            byte[] piece = new byte[PIECE_BYTES];
            while (got < length) {
                int n = in.readNBytes(piece, 0, (int) Math.min(PIECE_BYTES, length - got));
                if (n == 0) {
                    break;
                }
                got += n;
                sleep(PIECE_MS);
            }
        } catch (IOException e) {
            record.add("client %s: %s", id, e);
        }
        End e = new End(id, sent, record.now(), status, got, status > 0 && got == length);
        ends.add(e);
        record.add("client %s sent=%.3f ended=%.3f status=%d bytes=%d of %d complete=%s", id, sent, e.ended(), status, got, length, e.complete());
    }

    private boolean serve(Backend b, Socket s, HttpMessage m) throws IOException, InterruptedException {
        Thread.sleep(100);
        int bytes = Integer.parseInt(m.target().substring(m.target().lastIndexOf('/') + 1));
        b.reply(s, m, new byte[bytes]);
        answeredByServer.add(record.now());
        record.add("server %s has answered %s with %d bytes", b.id, m.header("X-Request-Id"), bytes);
        return true;
    }

    /**
     * LOST: around a SIGTERM a process has read a whole request and the connection ends without a complete answer, once it
     * has been passed on to an instance.
     */
    private int judge(double term) {
        double lastSixth = term + Stage.GRACE_S * 5 / 6.0;
        boolean serversDone = answeredByServer.stream().allMatch(t -> t < lastSixth);
        long lost = ends.stream()
                .filter(e -> !e.complete() && e.ended() < term + Stage.GRACE_S + 1 && e.ended() - e.sent() < TIMEOUT_MS / 1e3)
                .peek(e -> record.say("cut: %s after %d bytes, %.2f s after the SIGTERM", e.id(), e.bytes(), e.ended() - term))
                .count();
        record.say("answers that did not arrive whole: %d of %d; servers had finished before the last sixth of the grace period: %s",
                lost, ends.size(), serversDone);
        boolean broken = lost > 0 && serversDone;
        record.say(broken ? "LOST was broken" : "LOST held");
        return broken ? 1 : 0;
    }
}
