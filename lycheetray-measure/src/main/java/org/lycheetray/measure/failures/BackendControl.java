package org.lycheetray.measure.failures;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.netty.buffer.Unpooled;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.lycheetray.core.model.BackendServer;
import reactor.core.publisher.Mono;
import reactor.netty.http.client.HttpClient;

/** Sets faults of backend server stand-ins and reads what they ran. */
final class BackendControl {
    private static final Duration TIMEOUT = Duration.ofSeconds(10);
    private static final ObjectMapper JSON = new ObjectMapper();

    private final String base;
    private final HttpClient client = HttpClient.newConnection().disableRetry(true);

    /** Talks to the whole fleet through one of its servers, which must stay up. */
    BackendControl(BackendServer any) {
        base = "http://" + any.endpoint();
    }

    /** A run as the backend server logged it. */
    record Run(String requestId, String idempotencyKey, String server) {}

    void fault(String json) {
        client.post()
                .uri(base + "/_standin/fault")
                .send(Mono.fromSupplier(() -> Unpooled.wrappedBuffer(json.getBytes(StandardCharsets.UTF_8))))
                .responseContent()
                .aggregate()
                .block(TIMEOUT);
    }

    List<Run> runs() {
        List<Run> runs = new ArrayList<>();
        for (JsonNode r : get("/_standin/runs").path("runs")) {
            runs.add(new Run(
                    r.path("requestId").asText(),
                    r.path("idempotencyKey").asText(),
                    r.path("backendServer").asText()));
        }
        return runs;
    }

    long crashes() {
        long sum = 0;
        for (JsonNode s : get("/_standin/stats")) {
            sum += s.path("crashes").asLong();
        }
        return sum;
    }

    private JsonNode get(String path) {
        String text = client.get()
                .uri(base + path)
                .responseContent()
                .aggregate()
                .asString()
                .block(TIMEOUT);
        try {
            return JSON.readTree(text);
        } catch (IOException e) {
            throw new UncheckedIOException("read " + path + " of " + base, e);
        }
    }
}
