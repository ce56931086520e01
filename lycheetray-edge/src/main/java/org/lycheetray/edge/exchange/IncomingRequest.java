package org.lycheetray.edge.exchange;

import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import org.lycheetray.core.time.MonotonicTime;
import org.lycheetray.daemon.request.Body;

/**
 * A caller's complete request.
 *
 * @param method HTTP method
 * @param uri path and query, unmodified
 * @param headers headers, unmodified
 * @param body complete body
 * @param received time at which the head was complete
 */
public record IncomingRequest(HttpMethod method, String uri, HttpHeaders headers, Body body, MonotonicTime received) {
    /**
     * Returns the path of the request.
     *
     * @return the URI without the query
     */
    public String path() {
        return path(uri);
    }

    static String path(String uri) {
        int query = uri.indexOf('?');
        return query < 0 ? uri : uri.substring(0, query);
    }
}
