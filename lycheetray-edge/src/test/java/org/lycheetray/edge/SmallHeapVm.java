package org.lycheetray.edge;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.time.Duration;
import java.util.concurrent.atomic.AtomicBoolean;
import org.lycheetray.daemon.log.LogFormat;
import org.lycheetray.daemon.log.Logging;

/** Process with the heap of a deployed VM, in which large bodies are exchanged beside small requests. */
final class SmallHeapVm {
    /** What is exchanged beside the small requests. */
    enum Scenario {
        /** Servers send answers without end. */
        ENDLESS_ANSWERS,
        /** Callers don't read their answers. */
        UNREAD_ANSWERS,
        /** Callers send many large bodies, which servers are slow to answer. */
        LARGE_REQUESTS
    }

    static final int SMALL_REQUESTS = 200;

    /** Sum of the large bodies: several times the heap. */
    private static final int LARGE_COUNT = 60;

    private static final int LARGE_BYTES = 8 << 20;

    /** Largest memory_mb with which VMs are deployed. */
    private static final int MEMORY_MB = 682;

    private static final int SERVERS = 12;
    private static final String PIECE = "x".repeat(1 << 16);
    private static final AtomicBoolean DONE = new AtomicBoolean();

    private SmallHeapVm() {}

    public static void main(String[] args) throws Exception {
        Logging.configure(LogFormat.KEY_VALUE, "info");
        try (EdgeFixture edge = new EdgeFixture(Duration.ofMillis(100), MEMORY_MB)) {
            ScriptedBackendServer server = new ScriptedBackendServer(SmallHeapVm::answer);
            edge.configure(1);
            for (int i = 0; i < SERVERS; i++) {
                edge.register("s-" + i, server, false);
                edge.register("large-" + i, server, false, EdgeFixture.LARGE_SERVICE);
            }
            edge.awaitReady();
            run(edge, Scenario.valueOf(args[0]));
        }
        Logging.shutdown();
        System.out.println("stopped");
        System.exit(0);
    }

    private static void run(EdgeFixture edge, Scenario scenario) throws Exception {
        for (int i = 0; i < LARGE_COUNT; i++) {
            String id = "large-" + i;
            Thread.ofVirtual().start(() -> exchangeLarge(edge, scenario, id));
        }
        int answered = 0;
        for (int i = 0; i < SMALL_REQUESTS; i++) {
            if (edge.request(EdgeFixture.get("/read/1", "small-" + i, "")).status() == 200) {
                answered++;
            }
            Thread.sleep(10);
        }
        DONE.set(true);
        System.out.println("answered " + answered);
    }

    private static void exchangeLarge(EdgeFixture edge, Scenario scenario, String id) {
        try (Socket caller = edge.newCaller()) {
            switch (scenario) {
                case ENDLESS_ANSWERS -> {
                    EdgeFixture.send(caller, EdgeFixture.post("/large/1", "endless-" + id, "x"));
                    EdgeFixture.read(new BufferedInputStream(caller.getInputStream()));
                }
                case UNREAD_ANSWERS -> {
                    EdgeFixture.send(caller, EdgeFixture.get("/large/1", id, ""));
                    awaitDone();
                }
                case LARGE_REQUESTS -> {
                    EdgeFixture.send(
                            caller,
                            EdgeFixture.post("/large/1", id, "").replace("Length: 0", "Length: " + LARGE_BYTES));
                    writePieces(caller.getOutputStream());
                    EdgeFixture.Reply reply = EdgeFixture.read(new BufferedInputStream(caller.getInputStream()));
                    if (!DONE.get() && (reply.status() != 503 || !reply.hasHeader("Retry-After"))) {
                        System.out.println("unexpected reply to " + id + ": " + reply);
                    }
                }
            }
        } catch (IOException e) {
            if (!DONE.get()) {
                System.out.println("unexpected end of " + id + ": " + e);
            }
        }
    }

    private static void awaitDone() {
        while (!DONE.get()) {
            try {
                Thread.sleep(10);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
                return;
            }
        }
    }

    private static void writePieces(OutputStream out) throws IOException {
        for (int sent = 0; sent < LARGE_BYTES; sent += PIECE.length()) {
            ScriptedBackendServer.write(out, PIECE);
        }
    }

    private static void answer(ScriptedBackendServer.Request r, OutputStream out, Socket s) throws IOException {
        String id = r.header("X-Id");
        String start = "HTTP/1.1 200 OK\r\nX-Signed: 1\r\nX-Id: " + id + "\r\n";
        if (id.startsWith("endless")) {
            ScriptedBackendServer.write(out, start + "\r\n");
            while (true) {
                ScriptedBackendServer.write(out, PIECE);
            }
        } else if (id.startsWith("large") && r.head().startsWith("GET")) {
            ScriptedBackendServer.write(out, start + "Content-Length: " + LARGE_BYTES + "\r\n\r\n");
            writePieces(out);
        } else if (id.startsWith("large")) {
            awaitDone();
        } else {
            ScriptedBackendServer.write(out, ScriptedBackendServer.signedAnswer(id, "small"));
        }
    }
}
