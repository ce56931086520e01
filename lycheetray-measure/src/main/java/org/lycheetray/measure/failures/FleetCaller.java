package org.lycheetray.measure.failures;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.HttpMethod;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Arrays;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
import org.lycheetray.core.model.Endpoint;
import org.lycheetray.core.model.Outcome;
import org.lycheetray.measure.once.History;
import reactor.core.publisher.Mono;
import reactor.netty.http.client.HttpClient;
import reactor.netty.http.client.HttpClientResponse;
import reactor.netty.resources.ConnectionProvider;

/** Sends requests to entry VMs and notes what it was told. */
final class FleetCaller implements AutoCloseable {
    private static final Duration PATIENCE = Duration.ofSeconds(20);
    private static final int CONNECTIONS = 64;
    private static final ObjectMapper JSON = new ObjectMapper();

    private final ConnectionProvider connections = ConnectionProvider.create("measure", CONNECTIONS);
    private final HttpClient client = HttpClient.create(connections).disableRetry(true);
    private final History history;
    private final String key;
    private final Map<String, String> sendings = new ConcurrentHashMap<>();
    private final AtomicInteger numbers = new AtomicInteger();

    FleetCaller(History history, String key) {
        this.history = history;
        this.key = key;
    }

    /** What the caller was told; the request id is that of the system. */
    record Reply(Outcome outcome, int status, String reason, String requestId) {}

    /** Gives the sending that the system called by a request id, or the id itself if its response never came. */
    String sendingOf(String requestId) {
        return sendings.getOrDefault(requestId, requestId);
    }

    /** Sends one request and waits for what is said of it; the history is told as well. */
    Reply send(Endpoint vm, String method, String path, String idempotencyKey, String body) {
        String sending = "sending-" + numbers.incrementAndGet();
        history.add(new History.Sent(sending, idempotencyKey, path + body));
        HttpClient.RequestSender request = client.headers(h -> {
                    h.set("Authorization", "Bearer " + key);
                    h.set("Idempotency-Key", idempotencyKey);
                })
                .request(HttpMethod.valueOf(method));
        return request.uri("http://" + vm + path)
                .send(Mono.fromSupplier(() -> Unpooled.wrappedBuffer(body.getBytes(StandardCharsets.UTF_8))))
                .responseSingle(
                        (res, content) -> content.asString().defaultIfEmpty("").map(text -> told(sending, res, text)))
                .timeout(PATIENCE)
                .onErrorResume(e -> Mono.just(new Reply(Outcome.UNKNOWN, 0, "no-response", "")))
                .block();
    }

    private Reply told(String sending, HttpClientResponse res, String text) {
        String id = res.responseHeaders().get("Lycheetray-Request-Id", "");
        sendings.put(id, sending);
        String label = res.responseHeaders().get("Lycheetray-Outcome", "");
        Outcome outcome = Arrays.stream(Outcome.values())
                .filter(o -> o.label().equals(label))
                .findFirst()
                .orElse(Outcome.UNKNOWN);
        JsonNode node = parse(text);
        String answer = node.path("requestId").asText();
        history.add(new History.Told(sending, outcome, answer, false));
        return new Reply(outcome, res.status().code(), node.path("reason").asText(), id);
    }

    private static JsonNode parse(String text) {
        try {
            return JSON.readTree(text);
        } catch (IOException e) {
            return JSON.missingNode();
        }
    }

    @Override
    public void close() {
        connections.dispose();
    }
}
