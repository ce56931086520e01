package org.lycheetray.standin.backend;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFutureListener;
import io.netty.handler.codec.http.HttpHeaders;
import java.time.Duration;
import java.util.Arrays;
import org.lycheetray.core.model.BackendServer;
import org.lycheetray.core.time.MonotonicTime;
import org.lycheetray.standin.http.JsonHttp;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;
import reactor.netty.http.server.HttpServerRequest;
import reactor.netty.http.server.HttpServerResponse;

/** A request at a backend server with its body and the place for its answer. */
final class BackendExchange {
    private static final Duration NO_DEADLINE = Duration.ofMinutes(5);
    private static final int CHUNK_BYTES = 16 * 1024;

    private final HttpServerRequest request;
    private final HttpServerResponse response;
    private final Channel channel;
    private final byte[] body;
    private final MonotonicTime deadline;

    BackendExchange(
            HttpServerRequest request, HttpServerResponse response, Channel channel, byte[] body, MonotonicTime now) {
        this.request = request;
        this.response = response;
        this.channel = channel;
        this.body = body;
        this.deadline = now.plus(limit(header(BackendHeaders.DEADLINE_MS)));
    }

    HttpServerResponse response() {
        return response;
    }

    Channel channel() {
        return channel;
    }

    byte[] body() {
        return body;
    }

    /** Gives the time within which an answer is of use, at least zero. */
    Duration left(MonotonicTime now) {
        Duration left = deadline.since(now);
        return left.isNegative() ? Duration.ZERO : left;
    }

    /** Completes when the caller's connection is closed. */
    Mono<Void> closed() {
        return Mono.create(sink -> {
            ChannelFutureListener listener = _ -> sink.success();
            var added = channel.closeFuture().addListener(listener);
            sink.onDispose(() -> added.removeListener(listener));
        });
    }

    Run toRun(BackendServer server, long start) {
        HttpHeaders headers = request.requestHeaders();
        return new Run(
                0,
                header(BackendHeaders.REQUEST_ID),
                header(BackendHeaders.IDEMPOTENCY_KEY),
                header(BackendHeaders.ACCOUNT),
                server.name().value(),
                request.method().name(),
                request.fullPath(),
                start,
                null,
                RunState.RUNNING,
                headers.entries().stream().map(h -> h.getKey()).toList());
    }

    /** Answers what was run and where; the query parameter {@code size} adds that many bytes, streamed. */
    Mono<Void> answer(BackendServer server) {
        String id = header(BackendHeaders.REQUEST_ID);
        if (id != null) {
            response.header(BackendHeaders.REQUEST_ID, id);
        }
        Answer answer = new Answer(
                server.name().value(),
                server.service().value(),
                server.dataCentre().value(),
                id,
                header(BackendHeaders.ACCOUNT),
                header(BackendHeaders.IDEMPOTENCY_KEY),
                request.fullPath(),
                body.length);
        int size = JsonHttp.parameter(request, "size").map(Integer::parseInt).orElse(0);
        return size == 0 ? JsonHttp.json(response, 200, answer) : stream(JsonHttp.toBytes(answer), size);
    }

    private Mono<Void> stream(byte[] head, int size) {
        byte[] padding = new byte[CHUNK_BYTES];
        Arrays.fill(padding, (byte) ' ');
        Flux<ByteBuf> chunks = Flux.range(0, Math.ceilDiv(size, CHUNK_BYTES))
                .map(i -> Unpooled.wrappedBuffer(padding, 0, Math.min(CHUNK_BYTES, size - i * CHUNK_BYTES)));
        return response.send(chunks.concatWith(Mono.fromSupplier(() -> Unpooled.wrappedBuffer(head))))
                .then();
    }

    private String header(String name) {
        return request.requestHeaders().get(name);
    }

    private static Duration limit(String text) {
        return text == null ? NO_DEADLINE : Duration.ofMillis(Long.parseLong(text));
    }

    /**
     * What was run, in JSON.
     *
     * @param server server that ran it
     * @param service its service
     * @param dataCentre its data centre
     * @param requestId identity of the request
     * @param account client account as told by the system
     * @param idempotencyKey idempotency key
     * @param path path without query
     * @param bodyBytes length of the body that arrived
     */
    record Answer(
            String server,
            String service,
            String dataCentre,
            String requestId,
            String account,
            String idempotencyKey,
            String path,
            int bodyBytes) {}
}
