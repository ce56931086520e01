package org.lycheetray.daemon.request;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import java.util.HashSet;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.function.Predicate;
import java.util.regex.Pattern;

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

    private static final Pattern LIST_SEPARATOR = Pattern.compile(",", Pattern.LITERAL);

    private HopByHopUtil() {}

    /**
     * Returns which headers of a message are end-to-end and may be forwarded. The list of its connection options is read
     * once, since it may be as long as the rest of the head.
     *
     * @param all all headers of the message; its Connection header may name further hop-by-hop headers
     * @return tells by name; false for a header that is hop-by-hop, or describes the framing of the body, which is set
     *     anew for each connection
     */
    public static Predicate<String> endToEnd(HttpHeaders all) {
        Set<String> options = new HashSet<>();
        for (String list : all.getAll(HttpHeaderNames.CONNECTION)) {
            LIST_SEPARATOR.splitAsStream(list).map(HopByHopUtil::normalize).forEach(options::add);
        }
        return name -> {
            String n = normalize(name);
            return !HOP_BY_HOP.contains(n) && !options.contains(n);
        };
    }

    private static String normalize(String name) {
        return name.strip().toLowerCase(Locale.ROOT);
    }

    /**
     * Copies the end-to-end headers.
     *
     * @param headers headers of the received message
     * @return new headers
     */
    public static HttpHeaders copyEndToEnd(HttpHeaders headers) {
        Predicate<String> endToEnd = endToEnd(headers);
        HttpHeaders copy = new DefaultHttpHeaders();
        for (Map.Entry<String, String> h : headers) {
            if (endToEnd.test(h.getKey())) {
                copy.add(h.getKey(), h.getValue());
            }
        }
        return copy;
    }
}
