package org.lycheetray.edge.exchange;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;

/** Headers that concern one connection only. */
final class HeaderUtil {
    private static final Set<String> OF_CONNECTION = Set.of(
            "connection",
            "keep-alive",
            "proxy-connection",
            "proxy-authenticate",
            "proxy-authorization",
            "te",
            "trailer",
            "transfer-encoding",
            "upgrade",
            "expect",
            "content-length");

    private HeaderUtil() {}

    /**
     * Copies headers, except those of the connection and those that its Connection header names.
     *
     * @param from headers as they came
     * @return a new object
     */
    static HttpHeaders withoutConnection(HttpHeaders from) {
        Set<String> named = named(from.getAll(HttpHeaderNames.CONNECTION));
        HttpHeaders to = new DefaultHttpHeaders();
        for (Map.Entry<String, String> e : from) {
            String name = e.getKey().toLowerCase(Locale.ROOT);
            if (!OF_CONNECTION.contains(name) && !named.contains(name)) {
                to.add(e.getKey(), e.getValue());
            }
        }
        return to;
    }

    private static Set<String> named(List<String> values) {
        Set<String> names = new TreeSet<>();
        for (String v : values) {
            for (String n : v.split(",", -1)) {
                names.add(n.strip().toLowerCase(Locale.ROOT));
            }
        }
        return names;
    }
}
