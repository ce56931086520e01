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

/** Queries the health of backend servers over connections that are separate from those for requests. */
public final class HealthProbe implements AutoCloseable {
    private static final String HEALTH_PATH = "/_health";
    private static final Duration TIMEOUT = Duration.ofMillis(800);
    private static final int MAX_CONNECTIONS_PER_SERVER = 1;
    private static final int OK = 200;
    private static final int MAX_RETRIES_AFTER_DROP = 5;
    private static final Duration RETRY_DELAY_AFTER_DROP = Duration.ofMillis(30);
    private static final ObjectMapper JSON = new ObjectMapper();

    private final ConnectionProvider connections = ConnectionProvider.create("health", MAX_CONNECTIONS_PER_SERVER);
    private final HttpClient client = HttpClient.create(connections).disableRetry(true);

    /** Creates a probe; connections are opened on demand. */
    public HealthProbe() {}

    /**
     * Requests the health report of a server.
     *
     * @param server the server
     * @return its report, empty if none arrived within the time-out; a missing report is no evidence of a failure
     */
    public Mono<HealthReport> fetchHealth(BackendServer server) {
        return client.get()
                .uri(uri(server))
                .responseSingle((res, body) -> body.asByteArray()
                        .defaultIfEmpty(new byte[0])
                        .map(bytes -> parse(res.status().code(), bytes)))
                .timeout(TIMEOUT)
                .onErrorResume(e -> Mono.empty());
    }

    /**
     * Returns whether a server refuses new connections, as after a crash.
     *
     * <p>The socket of a terminating process may still accept connections and drop them, so the probe is repeated after
     * a dropped connection. A time-out does not count as a crash.
     *
     * @param server the server
     * @return true if a new connection was refused, or every retry was dropped
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
                .retryWhen(Retry.fixedDelay(MAX_RETRIES_AFTER_DROP, RETRY_DELAY_AFTER_DROP)
                        .filter(e -> !(e instanceof TimeoutException)))
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
