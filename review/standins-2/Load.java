package org.lycheetray.review;

import java.io.IOException;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicInteger;
import org.lycheetray.soak.http.HttpMessage;
import org.lycheetray.soak.http.HttpReader;
import org.lycheetray.soak.http.Sockets;

/** Callers that send one request after the other on a kept connection and record how each of them ended. */
final class Load {
    /** Host of all routes. */
    static final String HOST = "jepu9.example";

    /**
     * One client attempt; times in seconds since the start of the record.
     *
     * @param status HTTP status; 0 if the connection ended without a complete answer, -1 if the client gave up
     */
    record Attempt(String id, String route, int vm, double sent, double ended, int status) {}

    /** A request of the load: its route's prefix, method and body. */
    record Kind(String route, String method, byte[] body, int timeoutMs, int deadlineMs) {}

    final ConcurrentLinkedQueue<Attempt> attempts = new ConcurrentLinkedQueue<>();
    private final Stage stage;
    private final AtomicInteger ids = new AtomicInteger();
    private final List<Thread> threads = new ArrayList<>();
    private volatile boolean stopped;

    Load(Stage stage) {
        this.stage = stage;
    }

    /** Starts callers of one kind at a VM, each with a pause between its requests. */
    void start(int vm, Kind kind, int callers, int pauseMs) {
        for (int c = 0; c < callers; c++) {
            int offset = pauseMs * c / callers;
            threads.add(Thread.startVirtualThread(() -> call(vm, kind, pauseMs, offset)));
        }
    }

    private void call(int vm, Kind kind, int pauseMs, int offsetMs) {
        try {
            Thread.sleep(offsetMs);
            Socket socket = null;
            HttpReader in = null;
            while (!stopped) {
                if (socket == null) {
                    socket = new Socket();
                    try {
                        socket.connect(stage.callers(vm), 1_000);
                        in = new HttpReader(socket.getInputStream());
                    } catch (IOException e) {
                        Sockets.close(socket);
                        socket = null;
                        Thread.sleep(pauseMs);
                        continue;
                    }
                }
                if (!once(socket, in, vm, kind)) {
                    Sockets.close(socket);
                    socket = null;
                }
                Thread.sleep(pauseMs);
            }
            if (socket != null) {
                Sockets.close(socket);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Sends one request and waits for its end; returns false if the connection can't be used again. */
    boolean once(Socket socket, HttpReader in, int vm, Kind kind) {
        String id = String.format("%016x", 0x9c41_0000_0000L + ids.incrementAndGet());
        double sent = stage.record.now();
        int status;
        boolean last = true;
        try {
            socket.setSoTimeout(kind.deadlineMs());
            byte[] head = Sockets.bytes(kind.method() + " " + kind.route() + id + " HTTP/1.1\r\nHost: " + HOST
                    + "\r\nX-Request-Id: " + id + "\r\nX-Request-Deadline-Ms: " + kind.deadlineMs() + "\r\n"
                    + (kind.body().length > 0 ? "Content-Length: " + kind.body().length + "\r\n" : "") + "\r\n");
            socket.getOutputStream().write(head);
            socket.getOutputStream().write(kind.body());
            HttpMessage answer = in.readResponse();
            status = answer.status();
            last = answer.isLast();
        } catch (java.net.SocketTimeoutException e) {
            status = -1;
        } catch (IOException e) {
            status = 0;
        }
        Attempt a = new Attempt(id, kind.route(), vm, sent, stage.record.now(), status);
        attempts.add(a);
        stage.record.add("client vm=%d %s %s sent=%.3f status=%d after %.3f s", vm, kind.route(), id, sent, status, a.ended() - sent);
        return status > 0 && !last;
    }

    /** Ends the load after the attempts in progress. */
    void stop() throws InterruptedException {
        stopped = true;
        for (Thread t : threads) {
            t.join();
        }
    }

    /** Returns a configuration of anonymous routes; each is given as prefix, type, timeout and service. */
    static String config(String... routes) {
        StringBuilder rows = new StringBuilder();
        StringBuilder services = new StringBuilder();
        for (int i = 0; i < routes.length; i++) {
            String[] r = routes[i].split(" ");
            rows.append(i == 0 ? "" : ",").append("[\"r-").append(i).append("\",\"").append(HOST).append("\",\"").append(r[0])
                    .append("\",\"").append(r[1]).append("\",").append(r[2]).append(",").append(Integer.parseInt(r[2]) / 4)
                    .append(",2,2,true,\"").append(r[3]).append("\"]");
            services.append(i == 0 ? "" : ",").append("[\"").append(r[3]).append("\",\"/health\",330,3.0,0]");
        }
        return "{\"version\":\"r7\",\"routes\":{\"columns\":[\"name\",\"hostname\",\"prefix\",\"type\",\"timeout_ms\","
                + "\"target_latency_ms\",\"priority\",\"max_attempts\",\"anonymous\",\"service\"],\"rows\":[" + rows
                + "]},\"services\":{\"columns\":[\"name\",\"health_check_path\",\"max_connections\",\"cold_start_s\","
                + "\"cold_per_s\"],\"rows\":[" + services + "]},\"limits\":{\"max_header_bytes\":16384,"
                + "\"max_body_bytes\":67108864,\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}";
    }
}
