package review;

import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** Stand-in for the platform's metadata store in the form of tables. It keeps its whole history. */
final class Store implements AutoCloseable {
    private record Key(String table, String part, String key) {}

    private record Row(Key key, String value, long ver) {}

    private final ServerSocket listener = new ServerSocket(0, 100, InetAddress.getLoopbackAddress());
    private final Map<Key, Row> rows = new HashMap<>();
    private final List<Row> history = new ArrayList<>();
    private long version;

    Store() throws IOException {
        Thread.startVirtualThread(this::accept);
    }

    int port() {
        return listener.getLocalPort();
    }

    /** Writes a row as the operator or an instance does; the return is the ack. */
    synchronized long put(String table, String key, String json) {
        version++;
        set(new Key(table, "", key), Base64.getEncoder().encodeToString(json.getBytes(StandardCharsets.UTF_8)));
        return version;
    }

    synchronized void remove(String table, String key) {
        Key k = new Key(table, "", key);
        if (rows.containsKey(k)) {
            version++;
            set(k, null);
        }
    }

    private void set(Key key, String value) {
        Row row = new Row(key, value, version);
        history.add(row);
        if (value == null) {
            rows.remove(key);
        } else {
            rows.put(key, row);
        }
        notifyAll();
    }

    private void accept() {
        while (!listener.isClosed()) {
            try {
                Socket s = listener.accept();
                Thread.startVirtualThread(() -> serve(s));
            } catch (IOException e) {
                return;
            }
        }
    }

    private void serve(Socket s) {
        try (s) {
            s.setTcpNoDelay(true);
            var in = new java.io.BufferedInputStream(s.getInputStream());
            OutputStream out = s.getOutputStream();
            for (Http.Message m = Http.read(in); m != null; m = Http.read(in)) {
                String body;
                int status = 200;
                try {
                    body = answer(m);
                } catch (IllegalStateException e) {
                    status = 412;
                    body = "{\"rows\":[]}";
                }
                byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
                out.write(("HTTP/1.1 " + status + " X\r\nContent-Type: application/json\r\nContent-Length: " + bytes.length
                                + "\r\n\r\n")
                        .getBytes(StandardCharsets.ISO_8859_1));
                out.write(bytes);
                out.flush();
            }
        } catch (IOException | InterruptedException e) {
            return;
        }
    }

    private String answer(Http.Message m) throws InterruptedException {
        String target = m.target();
        int mark = target.indexOf('?');
        String path = mark < 0 ? target : target.substring(0, mark);
        Map<String, String> query = new HashMap<>();
        if (mark >= 0) {
            for (String pair : target.substring(mark + 1).split("&")) {
                int eq = pair.indexOf('=');
                query.put(pair.substring(0, eq), URLDecoder.decode(pair.substring(eq + 1), StandardCharsets.UTF_8));
            }
        }
        return switch (path) {
            case "/v1/rows-get" -> get(query);
            case "/v1/rows-feed" -> feed(query);
            case "/v1/rows-tx" -> transact(new String(m.body(), StandardCharsets.UTF_8));
            default -> throw new IllegalArgumentException(path);
        };
    }

    private synchronized String get(Map<String, String> q) {
        TreeMap<String, Row> found = new TreeMap<>();
        rows.values().stream()
                .filter(r -> r.key.table.equals(q.get("table")) && r.key.part.equals(q.getOrDefault("part", "")))
                .filter(r -> r.key.key.compareTo(q.getOrDefault("from", "")) >= 0)
                .forEach(r -> found.put(r.key.key, r));
        return "{\"rows\":[" + list(new ArrayList<>(found.values())) + "],\"has_more\":false," + tail();
    }

    private synchronized String feed(Map<String, String> q) throws InterruptedException {
        long after = Long.parseLong(q.get("after"));
        long end = System.nanoTime() + Long.parseLong(q.getOrDefault("wait_ms", "0")) * 1_000_000;
        while (true) {
            List<Row> changed = history.stream()
                    .filter(r -> r.ver > after && r.key.table.equals(q.get("table")))
                    .toList();
            long left = (end - System.nanoTime()) / 1_000_000;
            if (!changed.isEmpty() || left <= 0) {
                return "{\"rows\":[" + list(changed) + "]," + tail();
            }
            wait(left);
        }
    }

    @SuppressWarnings("unchecked")
    private synchronized String transact(String text) {
        Map<String, Object> tx = (Map<String, Object>) Json.parse(text);
        for (Object o : (List<Object>) tx.getOrDefault("expected", List.of())) {
            Map<String, Object> e = (Map<String, Object>) o;
            Row r = rows.get(key(e));
            if ((r == null ? 0 : r.ver) != ((Double) e.get("ver")).longValue()) {
                throw new IllegalStateException("condition");
            }
        }
        version++;
        for (Object o : (List<Object>) tx.getOrDefault("writes", List.of())) {
            Map<String, Object> w = (Map<String, Object>) o;
            set(key(w), (String) w.get("value"));
        }
        for (Object o : (List<Object>) tx.getOrDefault("remove", List.of())) {
            set(key((Map<String, Object>) o), null);
        }
        return "{" + tail();
    }

    private static Key key(Map<String, Object> m) {
        return new Key((String) m.get("table"), (String) m.getOrDefault("part", ""), (String) m.get("key"));
    }

    private String tail() {
        return "\"ver\":" + version + ",\"now_ms\":" + System.nanoTime() / 1_000_000 + "}";
    }

    private static String list(List<Row> rows) {
        List<String> items = new ArrayList<>();
        for (Row r : rows) {
            String end = r.value == null ? ",\"removed\":true" : ",\"value\":" + Json.quote(r.value);
            items.add("{\"table\":" + Json.quote(r.key.table) + ",\"part\":" + Json.quote(r.key.part) + ",\"key\":"
                    + Json.quote(r.key.key) + ",\"ver\":" + r.ver + end + "}");
        }
        return String.join(",", items);
    }

    @Override
    public void close() throws IOException {
        listener.close();
    }
}
