package org.lycheetray.daemon.request.internal;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import java.util.Locale;
import java.util.Map;
import java.util.function.Predicate;
import org.lycheetray.daemon.request.HopByHopUtil;

/** Selects the headers that are forwarded between callers and backend servers. */
public final class HeaderUtil {
    /** Prefix of headers that are reserved for the system and never forwarded. */
    public static final String RESERVED_PREFIX = "lycheetray-";

    /** Request id, set on requests to backend servers and on every response. */
    public static final String REQUEST_ID = "Lycheetray-Request-Id";

    /** Client account, set on requests to backend servers. */
    public static final String ACCOUNT = "Lycheetray-Account";

    /** Time left until the request's deadline, in milliseconds. */
    public static final String DEADLINE_MS = "Lycheetray-Deadline-Ms";

    /** Set by a backend server that refuses a request which it has not started and will not start. */
    public static final String NOT_RUN = "Lycheetray-Not-Run";

    /** Key by which duplicates of a request that must run at most once are recognized. */
    public static final String IDEMPOTENCY_KEY = "Idempotency-Key";

    private HeaderUtil() {}

    /**
     * Copies the headers that are forwarded to a backend server.
     *
     * @param headers the caller's headers
     * @param key the caller's key, empty if it sent none; headers that contain it are omitted
     * @return new headers
     */
    public static HttpHeaders copyForBackend(HttpHeaders headers, String key) {
        Predicate<String> forwarded = forwarded(headers);
        HttpHeaders copy = new DefaultHttpHeaders();
        for (Map.Entry<String, String> h : headers) {
            boolean secret = h.getKey().equalsIgnoreCase(HttpHeaderNames.AUTHORIZATION.toString())
                    || (!key.isEmpty() && h.getValue().contains(key));
            if (!secret && forwarded.test(h.getKey())) {
                copy.add(h.getKey(), h.getValue());
            }
        }
        return copy;
    }

    /**
     * Copies the headers that are forwarded to the caller.
     *
     * @param headers the backend server's headers
     * @return new headers
     */
    public static HttpHeaders copyForCaller(HttpHeaders headers) {
        Predicate<String> forwarded = forwarded(headers);
        HttpHeaders copy = new DefaultHttpHeaders();
        for (Map.Entry<String, String> h : headers) {
            if (forwarded.test(h.getKey())) {
                copy.add(h.getKey(), h.getValue());
            }
        }
        return copy;
    }

    private static Predicate<String> forwarded(HttpHeaders all) {
        Predicate<String> endToEnd = HopByHopUtil.endToEnd(all);
        return name -> !name.toLowerCase(Locale.ROOT).startsWith(RESERVED_PREFIX) && endToEnd.test(name);
    }
}
