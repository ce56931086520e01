package org.lycheetray.edge.backend;

import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import java.util.function.Supplier;
import org.lycheetray.daemon.request.Body;

/**
 * A request to a backend server.
 *
 * @param id request identifier assigned by the caller
 * @param method HTTP method
 * @param uri path and query, unmodified
 * @param headers supplies the headers, called at the time of sending
 * @param body complete body
 */
public record OutgoingRequest(String id, HttpMethod method, String uri, Supplier<HttpHeaders> headers, Body body) {}
