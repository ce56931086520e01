package org.lycheetray.daemon.request;

import io.netty.handler.codec.http.HttpHeaders;
import org.lycheetray.core.model.RequestId;
import org.lycheetray.core.time.MonotonicTime;

/**
 * A caller's request without its body.
 *
 * @param id request id assigned by this VM
 * @param method HTTP method
 * @param uri path and query as received
 * @param path path without the query
 * @param headers headers as received
 * @param receivedAt time at which the head arrived
 */
public record RequestHead(
        RequestId id, String method, String uri, String path, HttpHeaders headers, MonotonicTime receivedAt) {}
