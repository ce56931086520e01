package org.lycheetray.edge.backend;

import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import java.util.function.Supplier;
import org.lycheetray.daemon.request.Body;

/**
 * A request as it is sent to a backend server.
 *
 * @param id the caller's identity of the request
 * @param method HTTP method
 * @param uri path and query, unchanged
 * @param headers gives the headers at the moment of sending
 * @param body whole body
 */
public record OutgoingRequest(String id, HttpMethod method, String uri, Supplier<HttpHeaders> headers, Body body) {}
