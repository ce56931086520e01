package org.lycheetray.measure.config;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import org.lycheetray.core.model.Endpoint;

/** One HTTP/1.1 connection that stays open from the first request to the last. */
final class HeldConnection implements AutoCloseable {
    private static final int READ_TIMEOUT_MS = 10_000;
    private static final int STATUS_DIGITS = 3;

    /** A response; the body as text. */
    record Response(int status, String body) {}

    private final Socket socket;
    private final InputStream in;

    HeldConnection(Endpoint server) throws IOException {
        socket = new Socket(server.host(), server.port());
        socket.setTcpNoDelay(true);
        socket.setSoTimeout(READ_TIMEOUT_MS);
        in = new BufferedInputStream(socket.getInputStream());
    }

    Response get(String path, String key) throws IOException {
        String request = "GET " + path + " HTTP/1.1\r\nHost: measure\r\nAuthorization: Bearer " + key + "\r\n\r\n";
        socket.getOutputStream().write(request.getBytes(StandardCharsets.US_ASCII));
        int status = statusOf(line());
        int length = -1;
        for (String header = line(); !header.isEmpty(); header = line()) {
            String lower = header.toLowerCase(Locale.ROOT);
            if (lower.startsWith("content-length:")) {
                length =
                        Integer.parseInt(lower.substring(lower.indexOf(':') + 1).strip());
            }
        }
        return new Response(status, length >= 0 ? text(length) : chunks());
    }

    @Override
    public void close() throws IOException {
        socket.close();
    }

    private static int statusOf(String statusLine) {
        int start = statusLine.indexOf(' ') + 1;
        return Integer.parseInt(statusLine, start, start + STATUS_DIGITS, 10);
    }

    private String chunks() throws IOException {
        StringBuilder body = new StringBuilder();
        for (int size = Integer.parseInt(line(), 16); size > 0; size = Integer.parseInt(line(), 16)) {
            body.append(text(size));
            line();
        }
        line();
        return body.toString();
    }

    private String text(int length) throws IOException {
        return new String(in.readNBytes(length), StandardCharsets.UTF_8);
    }

    private String line() throws IOException {
        StringBuilder line = new StringBuilder();
        for (int c = in.read(); c != '\n'; c = in.read()) {
            if (c < 0) {
                throw new IOException("the connection was closed");
            }
            if (c != '\r') {
                line.append((char) c);
            }
        }
        return line.toString();
    }
}
