package org.lycheetray.core.model;

/**
 * A network address on which a process listens.
 *
 * @param host IP address, without brackets if IPv6
 * @param port TCP port, 1 to 65535
 */
public record Endpoint(String host, int port) {
    private static final int MAX_PORT = 65_535;

    /** Checks that the host is not blank and that the port is in range. */
    public Endpoint {
        if (host == null || host.isBlank()) {
            throw new IllegalArgumentException("an endpoint needs a host");
        }
        if (port < 1 || port > MAX_PORT) {
            throw new IllegalArgumentException("port out of range 1 to 65535: " + port);
        }
    }

    /**
     * Parses {@code host:port} or {@code [ipv6]:port}.
     *
     * @param text the text to parse
     * @return the endpoint
     * @throws IllegalArgumentException if the text has another form or the port is out of range
     */
    public static Endpoint parse(String text) {
        int colon = text.lastIndexOf(':');
        if (colon <= 0) {
            throw new IllegalArgumentException("expected host:port but was " + text);
        }
        String host = text.substring(0, colon);
        if (host.startsWith("[") && host.endsWith("]")) {
            host = host.substring(1, host.length() - 1);
        }
        return new Endpoint(host, parsePort(text.substring(colon + 1), text));
    }

    private static int parsePort(String digits, String text) {
        try {
            return Integer.parseInt(digits);
        } catch (NumberFormatException e) {
            throw new IllegalArgumentException("expected host:port but was " + text, e);
        }
    }

    @Override
    public String toString() {
        return host.contains(":") ? "[" + host + "]:" + port : host + ":" + port;
    }
}
