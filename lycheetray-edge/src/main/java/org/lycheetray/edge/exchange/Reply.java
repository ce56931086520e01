package org.lycheetray.edge.exchange;

import io.netty.handler.codec.http.HttpHeaders;
import org.lycheetray.daemon.request.Body;

/**
 * What a caller gets.
 *
 * @param status HTTP status
 * @param headers headers without those of the connection and of the body's length
 * @param body whole body
 */
public record Reply(int status, HttpHeaders headers, Body body) {}
