package org.lycheetray.daemon.running;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.net.ConnectException;
import java.time.Duration;
import java.util.concurrent.TimeoutException;
import org.lycheetray.core.health.HealthReport;
import org.lycheetray.core.model.BackendServer;
import reactor.core.Exceptions;
import reactor.core.publisher.Mono;
import reactor.netty.http.client.HttpClient;
import reactor.netty.resources.ConnectionProvider;
import reactor.util.retry.Retry;

/** Asks backend servers for their health over connections of its own. */
public final class HealthProbe implements AutoCloseable {
    private static final String HEALTH_PATH = "/_health";
    private static final Duration TIMEOUT = Duration.ofMillis(800);
    private static final int CONNECTIONS_PER_SERVER = 1;
    private static final int OK = 200;
    private static final int DROPPED_TRIES = 5;
    private static final Duration DROPPED_PAUSE = Duration.ofMillis(30);
    private static final ObjectMapper JSON = new ObjectMapper();

    private final ConnectionProvider connections = ConnectionProvider.create("health", CONNECTIONS_PER_SERVER);
    private final HttpClient client = HttpClient.create(connections).disableRetry(true);

    /** Creates a probe without connections. */
    public HealthProbe() {}

    /**
     * Asks a server how it is.
     *
     * @param server the server
     * @return its report, empty if none came in time; silence alone says nothing
     */
    public Mono<HealthReport> health(BackendServer server) {
        return client.get()
                .uri(uri(server))
                .responseSingle((res, body) -> body.asByteArray()
                        .defaultIfEmpty(new byte[0])
                        .map(bytes -> parse(res.status().code(), bytes)))
                .timeout(TIMEOUT)
                .onErrorResume(e -> Mono.empty());
    }

    /**
     * Tells whether a server takes no connections any more, as after a crash.
     *
     * <p>While a process dies, its socket may still accept connections and drop them, so a dropped one is tried again.
     * Silence says nothing: a crash is refusal.
     *
     * @param server the server
     * @return true if fresh connections were refused or dropped
     */
    public Mono<Boolean> refusesConnections(BackendServer server) {
        return HttpClient.newConnection()
                .disableRetry(true)
                .get()
                .uri(uri(server))
                .response()
                .map(r -> false)
                .timeout(TIMEOUT)
                .onErrorResume(ConnectException.class, e -> Mono.just(true))
                .retryWhen(Retry.fixedDelay(DROPPED_TRIES, DROPPED_PAUSE).filter(e -> !(e instanceof TimeoutException)))
                .onErrorResume(e -> Mono.just(Exceptions.isRetryExhausted(e)));
    }

    private static String uri(BackendServer server) {
        return "http://" + server.endpoint() + HEALTH_PATH;
    }

    private static HealthReport parse(int status, byte[] body) {
        try {
            JsonNode node = JSON.readTree(body);
            boolean leaving = node.path("leaving").asBoolean();
            return new HealthReport(node.path("healthy").asBoolean(status == OK), leaving);
        } catch (IOException e) {
            return new HealthReport(status == OK, false);
        }
    }

    @Override
    public void close() {
        connections.dispose();
    }
}
