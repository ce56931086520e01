package org.lycheetray.standin.http;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.json.JsonMapper;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.QueryStringDecoder;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicReference;
import reactor.core.publisher.Mono;
import reactor.netty.Connection;
import reactor.netty.http.server.HttpServerRequest;
import reactor.netty.http.server.HttpServerResponse;

/** Reads and writes JSON on the stand-ins' HTTP servers. */
public final class JsonHttp {
    private static final JsonMapper JSON = JsonMapper.builder().build();

    private JsonHttp() {}

    /**
     * Parses a body; unknown fields are refused.
     *
     * @param <T> type of the body
     * @param bytes the body
     * @param type class of the body
     * @return the parsed body
     * @throws IllegalArgumentException if the body is not of that type
     */
    public static <T> T parse(byte[] bytes, Class<T> type) {
        try {
            T body = JSON.readValue(bytes, type);
            if (body == null) {
                throw new IllegalArgumentException("empty body");
            }
            return body;
        } catch (IOException e) {
            throw new IllegalArgumentException("body is not readable: " + e.getMessage(), e);
        }
    }

    /**
     * Writes a value as JSON.
     *
     * @param value the value
     * @return its bytes
     */
    public static byte[] toBytes(Object value) {
        try {
            return JSON.writeValueAsBytes(value);
        } catch (JsonProcessingException e) {
            throw new IllegalArgumentException(e);
        }
    }

    /**
     * Answers with JSON.
     *
     * @param response where to answer
     * @param status HTTP status
     * @param body the value to write
     * @return completes when the answer was written
     */
    public static Mono<Void> json(HttpServerResponse response, int status, Object body) {
        response.header(HttpHeaderNames.CONTENT_TYPE, "application/json");
        return bytes(response, status, toBytes(body));
    }

    /**
     * Answers with bytes.
     *
     * @param response where to answer
     * @param status HTTP status
     * @param body content
     * @return completes when the answer was written
     */
    public static Mono<Void> bytes(HttpServerResponse response, int status, byte[] body) {
        return response.status(status)
                .header(HttpHeaderNames.CONTENT_LENGTH, Integer.toString(body.length))
                .sendObject(Unpooled.wrappedBuffer(body))
                .then();
    }

    /**
     * Answers with a problem.
     *
     * @param response where to answer
     * @param status HTTP status
     * @param problem what was wrong
     * @return completes when the answer was written
     */
    public static Mono<Void> problem(HttpServerResponse response, int status, String problem) {
        return json(response, status, new Problem(problem));
    }

    /**
     * Closes the connection without an answer, as a crash does.
     *
     * @param response the answer that is not given
     * @return never completes
     */
    public static Mono<Void> hangUp(HttpServerResponse response) {
        response.withConnection(Connection::dispose);
        return Mono.never();
    }

    /**
     * Reads the whole body.
     *
     * @param request the request
     * @return the bytes, maybe none
     */
    public static Mono<byte[]> body(HttpServerRequest request) {
        return request.receive().aggregate().asByteArray().defaultIfEmpty(new byte[0]);
    }

    /**
     * Reads a query parameter.
     *
     * @param request the request
     * @param name name of the parameter
     * @return its first value, or empty
     */
    public static Optional<String> parameter(HttpServerRequest request, String name) {
        List<String> values = new QueryStringDecoder(request.uri(), StandardCharsets.UTF_8)
                .parameters()
                .get(name);
        return values == null ? Optional.empty() : Optional.of(values.getFirst());
    }

    /**
     * Reads a query parameter that must be present.
     *
     * @param request the request
     * @param name name of the parameter
     * @return its first value
     * @throws IllegalArgumentException if it is missing
     */
    public static String required(HttpServerRequest request, String name) {
        return parameter(request, name)
                .orElseThrow(() -> new IllegalArgumentException("query parameter %s is missing".formatted(name)));
    }

    /**
     * Names method and path, for dispatch.
     *
     * @param request the request
     * @return for example {@code GET /v1/vms}
     */
    public static String operation(HttpServerRequest request) {
        HttpMethod method = request.method();
        return method + " " + request.fullPath();
    }

    /**
     * Finds the connection of a request.
     *
     * @param request the request
     * @return its channel
     */
    public static Channel channel(HttpServerRequest request) {
        AtomicReference<Channel> found = new AtomicReference<>();
        request.withConnection(c -> found.set(c.channel()));
        return found.get();
    }

    /**
     * A problem in JSON.
     *
     * @param problem what was wrong
     */
    public record Problem(String problem) {}
}
