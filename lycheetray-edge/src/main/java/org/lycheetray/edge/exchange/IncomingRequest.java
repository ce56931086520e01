package org.lycheetray.edge.exchange;

import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import org.lycheetray.core.time.MonotonicTime;
import org.lycheetray.daemon.request.Body;

/**
 * A caller's request, read whole.
 *
 * @param method HTTP method
 * @param uri path and query as they came
 * @param headers headers as they came
 * @param body whole body
 * @param received when its head had arrived
 */
public record IncomingRequest(HttpMethod method, String uri, HttpHeaders headers, Body body, MonotonicTime received) {
    /**
     * The path.
     *
     * @return the URI without its query
     */
    public String path() {
        int query = uri.indexOf('?');
        return query < 0 ? uri : uri.substring(0, query);
    }
}
