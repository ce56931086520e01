package org.lycheetray.daemon.request;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import java.util.Locale;
import java.util.Map;
import java.util.Set;

/** Tells headers that concern one connection from those that pass on. */
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
     * Tells whether a header passes on.
     *
     * @param name its name
     * @param all the headers it came with, whose Connection header may name it
     * @return false if it concerns the connection only, or describes a body that is framed anew
     */
    public static boolean passesOn(String name, HttpHeaders all) {
        String lower = name.toLowerCase(Locale.ROOT);
        return !HOP_BY_HOP.contains(lower) && !all.containsValue(HttpHeaderNames.CONNECTION, lower, true);
    }

    /**
     * Copies the headers that pass on.
     *
     * @param headers headers as they came
     * @return a new set of headers
     */
    public static HttpHeaders copy(HttpHeaders headers) {
        HttpHeaders copy = new DefaultHttpHeaders();
        for (Map.Entry<String, String> h : headers) {
            if (passesOn(h.getKey(), headers)) {
                copy.add(h.getKey(), h.getValue());
            }
        }
        return copy;
    }
}
