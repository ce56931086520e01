package review;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;

/** Stand-in for one lifetime of an instance: it registers itself and runs requests, some at a time. */
final class Instance implements AutoCloseable {
    private static final AtomicLong IDS = new AtomicLong(0x7f3a91c2L);
    private static final long HEARTBEAT_MS = 1_500;

    final String id = "i-" + Long.toHexString(IDS.incrementAndGet());
    final String service;
    private final Run run;
    private final Store store;
    private final String zone;
    private final Behaviour behaviour;
    private final int slots;
    private final Semaphore free;
    private final long born = System.currentTimeMillis();
    private final ServerSocket listener = new ServerSocket(0, 100, InetAddress.getLoopbackAddress());
    private final Set<Socket> connections = ConcurrentHashMap.newKeySet();
    private volatile boolean ended;
    private long sequence;

    /** Decides how a request is run; returns the body of the answer, or null to break the connection. */
    interface Behaviour {
        byte[] work(Instance instance, Http.Message request) throws InterruptedException;
    }

    Instance(Run run, Store store, String service, String zone, int slots, Behaviour behaviour) throws IOException {
        this.run = run;
        this.store = store;
        this.service = service;
        this.zone = zone;
        this.slots = slots;
        this.free = new Semaphore(slots);
        this.behaviour = behaviour;
        Thread.startVirtualThread(this::accept);
        Thread.startVirtualThread(() -> {
            while (!ended) {
                report();
                Run.sleepMs(HEARTBEAT_MS);
            }
        });
    }

    private synchronized void report() {
        if (ended) {
            return;
        }
        sequence++;
        store.put(
                "servers",
                id,
                "{\"address\":\"127.0.0.1:" + listener.getLocalPort() + "\",\"born\":" + born
                        + ",\"info\":{\"service\":\"" + service + "\",\"version\":\"v1\",\"zone\":\"" + zone
                        + "\",\"slots\":" + slots + "},\"status\":{\"state\":\"ready\",\"sequence\":" + sequence
                        + ",\"cold_remaining_ms\":0}}");
    }

    private void accept() {
        while (!ended) {
            try {
                Socket s = listener.accept();
                connections.add(s);
                Thread.startVirtualThread(() -> serve(s));
            } catch (IOException e) {
                return;
            }
        }
    }

    private void serve(Socket s) {
        try (s) {
            s.setTcpNoDelay(true);
            var in = new BufferedInputStream(s.getInputStream());
            for (Http.Message m = Http.read(in); m != null && !ended; m = Http.read(in)) {
                if (!answer(s.getOutputStream(), m)) {
                    return;
                }
            }
        } catch (IOException | InterruptedException e) {
            // The caller has closed the connection.
        } finally {
            connections.remove(s);
        }
    }

    private boolean answer(OutputStream out, Http.Message m) throws IOException, InterruptedException {
        String request = m.header("X-Request-Id");
        String expected = m.header("X-Expect-Instance");
        if (!expected.isEmpty() && !expected.equals(id)) {
            write(out, "421 Misdirected Request", "X-Request-Id: " + request + "\r\nX-Instance-Id: " + id, new byte[0]);
            return true;
        }
        long deadline = Long.parseLong(m.header("X-Request-Deadline-Ms"));
        if (!free.tryAcquire(deadline, TimeUnit.MILLISECONDS)) {
            write(out, "503 Service Unavailable", "X-Request-Id: " + request + "\r\nX-Not-Executed: 1", new byte[0]);
            return true;
        }
        try {
            byte[] body = behaviour.work(this, m);
            if (body == null || ended) {
                return false;
            }
            write(
                    out,
                    "200 OK",
                    "X-Request-Id: " + request + "\r\nX-Server-Stamp: " + id + "." + request
                            + "\r\nKeep-Alive: timeout=10",
                    body);
            return true;
        } finally {
            free.release();
        }
    }

    private static void write(OutputStream out, String status, String headers, byte[] body) throws IOException {
        out.write(("HTTP/1.1 " + status + "\r\n" + headers + "\r\nContent-Length: " + body.length + "\r\n\r\n")
                .getBytes(StandardCharsets.ISO_8859_1));
        out.write(body);
        out.flush();
    }

    /** Ends at once, as in a crash: all connections are reset, and the entry lapses after three heartbeat intervals. */
    void crash() {
        synchronized (this) {
            if (ended) {
                return;
            }
            ended = true;
        }
        run.note("instance " + id + " crashes");
        try {
            listener.close();
            for (Socket s : connections) {
                s.setSoLinger(true, 0);
                s.close();
            }
        } catch (IOException e) {
            run.note("instance " + id + ": " + e);
        }
        Thread.startVirtualThread(() -> {
            Run.sleepMs(3 * HEARTBEAT_MS);
            store.remove("servers", id);
        });
    }

    @Override
    public void close() throws IOException {
        ended = true;
        listener.close();
    }
}
