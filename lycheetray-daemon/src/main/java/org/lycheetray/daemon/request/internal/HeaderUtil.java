package org.lycheetray.daemon.request.internal;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import java.util.Locale;
import java.util.Map;
import org.lycheetray.daemon.request.HopByHopUtil;

/** Decides which headers pass from caller to backend server and back. */
public final class HeaderUtil {
    /** Headers that start so are the system's own and never pass through. */
    public static final String OWN_PREFIX = "lycheetray-";

    /** Identity of the request, on requests to backend servers and on every answer. */
    public static final String REQUEST_ID = "Lycheetray-Request-Id";

    /** Client account, on requests to backend servers. */
    public static final String ACCOUNT = "Lycheetray-Account";

    /** Milliseconds left until the caller no longer waits. */
    public static final String DEADLINE_MS = "Lycheetray-Deadline-Ms";

    /** Set by a backend server on a refusal of a request that it has not started and will not start. */
    public static final String NOT_RUN = "Lycheetray-Not-Run";

    /** Names a request that must run at most once. */
    public static final String IDEMPOTENCY_KEY = "Idempotency-Key";

    private HeaderUtil() {}

    /**
     * Copies the headers that a backend server may see.
     *
     * @param headers the caller's headers
     * @param key the caller's key, empty if it sent none; headers that contain it are left out
     * @return a new set of headers
     */
    public static HttpHeaders forBackend(HttpHeaders headers, String key) {
        HttpHeaders copy = new DefaultHttpHeaders();
        for (Map.Entry<String, String> h : headers) {
            boolean secret = h.getKey().equalsIgnoreCase(HttpHeaderNames.AUTHORIZATION.toString())
                    || (!key.isEmpty() && h.getValue().contains(key));
            if (!secret && passes(h.getKey(), headers)) {
                copy.add(h.getKey(), h.getValue());
            }
        }
        return copy;
    }

    /**
     * Copies the headers that a caller may see.
     *
     * @param headers the backend server's headers
     * @return a new set of headers
     */
    public static HttpHeaders forCaller(HttpHeaders headers) {
        HttpHeaders copy = new DefaultHttpHeaders();
        for (Map.Entry<String, String> h : headers) {
            if (passes(h.getKey(), headers)) {
                copy.add(h.getKey(), h.getValue());
            }
        }
        return copy;
    }

    private static boolean passes(String name, HttpHeaders all) {
        return !name.toLowerCase(Locale.ROOT).startsWith(OWN_PREFIX) && HopByHopUtil.passesOn(name, all);
    }
}
