package org.lycheetray.daemon.request;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import java.util.Locale;
import java.util.Map;
import java.util.Set;

/** Separates hop-by-hop headers, which apply to a single connection, from end-to-end headers. */
public final class HopByHopUtil {
    private static final Set<String> HOP_BY_HOP = Set.of(
            "connection",
            "keep-alive",
            "proxy-authenticate",
            "proxy-authorization",
            "proxy-connection",
            "te",
            "trailer",
            "transfer-encoding",
            "upgrade",
            "http2-settings",
            "content-length",
            "expect");

    private HopByHopUtil() {}

    /**
     * Returns whether a header is end-to-end and may be forwarded.
     *
     * @param name its name
     * @param all all headers of the message; its Connection header may name further hop-by-hop headers
     * @return false if the header is hop-by-hop, or describes the framing of the body, which is set anew for each
     *     connection
     */
    public static boolean isEndToEnd(String name, HttpHeaders all) {
        String lower = name.toLowerCase(Locale.ROOT);
        return !HOP_BY_HOP.contains(lower) && !all.containsValue(HttpHeaderNames.CONNECTION, lower, true);
    }

    /**
     * Copies the end-to-end headers.
     *
     * @param headers headers of the received message
     * @return new headers
     */
    public static HttpHeaders copyEndToEnd(HttpHeaders headers) {
        HttpHeaders copy = new DefaultHttpHeaders();
        for (Map.Entry<String, String> h : headers) {
            if (isEndToEnd(h.getKey(), headers)) {
                copy.add(h.getKey(), h.getValue());
            }
        }
        return copy;
    }
}
