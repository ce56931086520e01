package org.lycheetray.edge.exchange;

import io.netty.handler.codec.http.HttpHeaders;
import org.lycheetray.daemon.request.Body;

/**
 * The reply to a caller.
 *
 * @param status HTTP status code
 * @param headers headers, without hop-by-hop headers and Content-Length
 * @param body complete body
 */
public record Reply(int status, HttpHeaders headers, Body body) {}
