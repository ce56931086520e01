package org.lycheetray.standin.demo;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.atomic.AtomicLong;
import org.lycheetray.core.model.Endpoint;
import org.lycheetray.core.time.Clock;
import org.lycheetray.core.time.MonotonicTime;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;
import reactor.netty.http.client.HttpClient;
import reactor.netty.http.client.HttpClientResponse;

/** Sends requests as a client account's program would. */
final class DemoCaller {
    private static final Duration LIMIT = Duration.ofSeconds(15);
    private static final JsonMapper JSON = JsonMapper.builder().build();
    private static final JsonNode NO_JSON = JsonNodeFactory.instance.objectNode();
    private static final byte[] BODY = "{\"demo\":true}".getBytes(StandardCharsets.UTF_8);

    private final HttpClient client = HttpClient.create().disableRetry(true).responseTimeout(LIMIT);
    private final Clock clock;
    private final AtomicLong sent = new AtomicLong();

    DemoCaller(Clock clock) {
        this.clock = clock;
    }

    /** Tells how many requests were sent, pages not counted. */
    long sent() {
        return sent.get();
    }

    DemoAnswer send(DemoRequest r) {
        return sendLater(r).block(LIMIT.plusSeconds(1));
    }

    /** Sends all requests at one time and gives the answers in the same order. */
    List<DemoAnswer> sendAll(List<DemoRequest> requests) {
        return Flux.fromIterable(requests)
                .flatMapSequential(this::sendLater, requests.size())
                .collectList()
                .block(LIMIT.plusSeconds(1));
    }

    /** Reads a JSON page; an empty object if it cannot be had. */
    JsonNode page(Endpoint at, String path) {
        return client.get()
                .uri("http://" + at + path)
                .responseSingle((_, content) -> content.asByteArray())
                .map(DemoCaller::parse)
                .onErrorReturn(NO_JSON)
                .defaultIfEmpty(NO_JSON)
                .block(LIMIT);
    }

    /** Tells whether a page answers 200. */
    boolean isOk(Endpoint at, String path) {
        return Boolean.TRUE.equals(client.get()
                .uri("http://" + at + path)
                .response()
                .map(r -> r.status().code() == 200)
                .onErrorReturn(false)
                .block(LIMIT));
    }

    private Mono<DemoAnswer> sendLater(DemoRequest r) {
        return Mono.defer(() -> {
            MonotonicTime start = clock.monotonic();
            sent.incrementAndGet();
            return client.headers(h -> fill(h, r))
                    .request(HttpMethod.valueOf(r.method()))
                    .uri("http://" + r.vm().callerEndpoint() + r.path())
                    .send((_, out) -> r.method().equals("POST")
                            ? out.send(Mono.fromSupplier(() -> Unpooled.wrappedBuffer(BODY)))
                            : out)
                    .responseSingle((response, content) -> content.asByteArray()
                            .defaultIfEmpty(new byte[0])
                            .map(bytes ->
                                    toAnswer(response, bytes, clock.monotonic().since(start))))
                    .onErrorResume(e -> Mono.just(failed(e, clock.monotonic().since(start))));
        });
    }

    private static void fill(HttpHeaders h, DemoRequest r) {
        r.key().ifPresent(k -> h.set("Authorization", "Bearer " + k));
        r.idempotencyKey().ifPresent(k -> h.set("Idempotency-Key", k));
    }

    private static DemoAnswer toAnswer(HttpClientResponse response, byte[] bytes, Duration time) {
        HttpHeaders h = response.responseHeaders();
        return new DemoAnswer(
                response.status().code(),
                h.get("Lycheetray-Outcome", ""),
                h.get("Lycheetray-Request-Id", ""),
                h.get("Lycheetray-Region", ""),
                h.get("Retry-After", ""),
                parse(bytes),
                time);
    }

    private static DemoAnswer failed(Throwable e, Duration time) {
        JsonNode body = JsonNodeFactory.instance.objectNode().put("reason", "no answer: " + e.getMessage());
        return new DemoAnswer(0, "", "", "", "", body, time);
    }

    private static JsonNode parse(byte[] bytes) {
        try {
            JsonNode node = JSON.readTree(bytes);
            return node == null ? NO_JSON : node;
        } catch (IOException _) {
            return NO_JSON;
        }
    }
}
