package org.lycheetray.daemon.request;

import io.netty.handler.codec.http.HttpHeaders;
import org.lycheetray.core.model.RequestId;
import org.lycheetray.core.time.MonotonicTime;

/**
 * A caller's request without its body.
 *
 * @param id identity given by this VM
 * @param method HTTP method
 * @param uri path and query as sent
 * @param path path without the query
 * @param headers headers as sent
 * @param received when the head arrived
 */
public record RequestHead(
        RequestId id, String method, String uri, String path, HttpHeaders headers, MonotonicTime received) {}
