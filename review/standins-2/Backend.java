package org.lycheetray.review;

import java.io.IOException;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Base64;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Semaphore;
import java.util.concurrent.atomic.AtomicInteger;
import org.lycheetray.soak.http.HttpMessage;
import org.lycheetray.soak.http.HttpReader;
import org.lycheetray.soak.http.Sockets;

/** A backend server that registers itself and runs requests with a handler. */
final class Backend implements AutoCloseable {
    /** Runs a request; returns false if the connection ends with it. */
    interface Handler {
        boolean run(Backend server, Socket socket, HttpMessage request) throws IOException, InterruptedException;
    }

    private static final int HEARTBEAT_MS = 1_500;

    final Stage stage;
    final String id;
    final int index;
    final AtomicInteger stamps = new AtomicInteger();
    private final String service;
    private final String zone;
    private final int slots;
    private final Handler handler;
    private final Semaphore free;
    private final Set<Socket> open = ConcurrentHashMap.newKeySet();
    private long born = System.currentTimeMillis();
    private volatile ServerSocket listener;
    private volatile boolean closed;
    private long sequence;

    Backend(Stage stage, int index, String service, String zone, int slots, Handler handler) throws IOException {
        this.stage = stage;
        this.index = index;
        this.id = String.format("i-%08x", 0x7f3a0000 + index);
        this.service = service;
        this.zone = zone;
        this.slots = slots;
        this.handler = handler;
        this.free = new Semaphore(slots);
        listen();
        Thread.startVirtualThread(this::beat);
    }

    private void listen() throws IOException {
        ServerSocket l = Sockets.listen(new InetSocketAddress(stage.serverHost(index), Stage.SERVER_PORT));
        listener = l;
        Thread.startVirtualThread(() -> accept(l));
    }

    /** Ends the server as a crash does; its entry stays. */
    void crash() {
        ServerSocket l = listener;
        listener = null;
        Sockets.close(l);
        open.forEach(Sockets::reset);
    }

    /** Starts a new lifetime under the same id. */
    void restart() throws IOException {
        synchronized (this) {
            born = System.currentTimeMillis();
            sequence = 0;
        }
        listen();
        register();
    }

    boolean isUp() {
        return listener != null;
    }

    private void accept(ServerSocket l) {
        while (!l.isClosed()) {
            try {
                Socket s = l.accept();
                open.add(s);
                Thread.startVirtualThread(() -> serve(s));
            } catch (IOException e) {
                // Closed, which ends the loop.
            }
        }
    }

    private void serve(Socket s) {
        try (s) {
            s.setTcpNoDelay(true);
            HttpReader in = new HttpReader(s.getInputStream());
            for (HttpMessage m = in.readRequest(); m != null; m = in.readRequest()) {
                if (!answer(s, m)) {
                    return;
                }
            }
        } catch (IOException | InterruptedException e) {
            // The VM has closed the connection.
        } finally {
            open.remove(s);
        }
    }

    private boolean answer(Socket s, HttpMessage m) throws IOException, InterruptedException {
        String request = m.header("X-Request-Id");
        if (m.target().startsWith("/health")) {
            write(s, "HTTP/1.1 200 OK\r\nX-Instance-Id: " + id + "\r\nContent-Length: 0\r\n\r\n", new byte[0]);
            return true;
        }
        if (!m.header("X-Expect-Instance").equals(id)) {
            write(s, "HTTP/1.1 421 Misdirected\r\nX-Request-Id: " + request + "\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n", new byte[0]);
            return true;
        }
        if (!free.tryAcquire()) {
            stage.record.add("server %s sheds %s", id, request);
            write(s, "HTTP/1.1 503 Full\r\nX-Request-Id: " + request + "\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n", new byte[0]);
            return true;
        }
        try {
            stage.record.add("server %s runs %s %s %s", id, request, m.method(), m.target());
            return handler.run(this, s, m);
        } finally {
            free.release();
        }
    }

    String head(HttpMessage m, int status) {
        return "HTTP/1.1 " + status + " Status\r\nX-Request-Id: " + m.header("X-Request-Id") + "\r\nX-Server-Stamp: " + id
                + "." + stamps.incrementAndGet() + "\r\nKeep-Alive: timeout=10\r\n";
    }

    void reply(Socket s, HttpMessage m, byte[] body) throws IOException {
        write(s, head(m, 200) + "Content-Length: " + body.length + "\r\n\r\n", body);
    }

    static void write(Socket s, String head, byte[] body) throws IOException {
        OutputStream out = s.getOutputStream();
        byte[] h = Sockets.bytes(head);
        byte[] all = java.util.Arrays.copyOf(h, h.length + body.length);
        System.arraycopy(body, 0, all, h.length, body.length);
        out.write(all);
        out.flush();
    }

    private void beat() {
        try {
            while (!closed) {
                if (isUp()) {
                    register();
                }
                Thread.sleep(HEARTBEAT_MS);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private synchronized void register() {
        sequence++;
        String entry = "{\"address\":\"" + stage.serverHost(index) + ":" + Stage.SERVER_PORT + "\",\"born\":" + born
                + ",\"info\":{\"service\":\"" + service + "\",\"version\":\"v1\",\"zone\":\"" + zone + "\",\"slots\":" + slots
                + "},\"status\":{\"state\":\"ready\",\"sequence\":" + sequence + ",\"cold_remaining_ms\":0}}";
        stage.rows.put("servers", id, Base64.getEncoder().encodeToString(entry.getBytes(StandardCharsets.UTF_8)));
    }

    @Override
    public void close() {
        closed = true;
        ServerSocket l = listener;
        if (l != null) {
            Sockets.close(l);
        }
        open.forEach(Sockets::close);
    }
}
