package review;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

/** A client's connection to a machine. */
final class Client implements AutoCloseable {
    private static final int CONNECT_MS = 1_000;

    final Socket socket = new Socket();
    private final InputStream in;

    Client(int port, int receiveBuffer) throws IOException {
        if (receiveBuffer > 0) {
            socket.setReceiveBufferSize(receiveBuffer);
        }
        socket.setTcpNoDelay(true);
        socket.connect(new InetSocketAddress("127.0.0.1", port), CONNECT_MS);
        in = new BufferedInputStream(socket.getInputStream());
    }

    static Http.Message get(int port, String path) throws IOException {
        try (Client c = new Client(port, 0)) {
            c.socket.setSoTimeout(2_000);
            c.write("GET " + path + " HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n", new byte[0]);
            return c.readOrFail();
        }
    }

    /** Sends a request as the pages describe it. */
    void send(String method, String host, String path, String id, long deadlineMs, String key, byte[] body)
            throws IOException {
        write(head(method, host, path, id, deadlineMs, key, body.length), body);
    }

    static String head(String method, String host, String path, String id, long deadlineMs, String key, long length) {
        return method + " " + path + " HTTP/1.1\r\nHost: " + host + "\r\nX-Request-Id: " + id
                + "\r\nX-Request-Deadline-Ms: " + deadlineMs + "\r\nX-Key: " + key + "\r\n"
                + (method.equals("POST") ? "Content-Length: " + length + "\r\n" : "") + "\r\n";
    }

    void write(String head, byte[] body) throws IOException {
        socket.getOutputStream().write(head.getBytes(StandardCharsets.ISO_8859_1));
        socket.getOutputStream().write(body);
        socket.getOutputStream().flush();
    }

    InputStream in() {
        return in;
    }

    Http.Message readOrFail() throws IOException {
        Http.Message m = Http.read(in);
        if (m == null) {
            throw new IOException("closed without an answer");
        }
        return m;
    }

    @Override
    public void close() throws IOException {
        socket.close();
    }
}
