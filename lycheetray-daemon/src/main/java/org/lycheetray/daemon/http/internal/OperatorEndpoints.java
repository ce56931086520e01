package org.lycheetray.daemon.http.internal;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.QueryStringDecoder;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.lycheetray.core.model.ClientAccountName;
import org.lycheetray.core.model.KeyHash;
import org.lycheetray.core.model.NameUtil;
import org.lycheetray.core.model.ServiceName;
import org.lycheetray.core.model.Vm;
import org.lycheetray.daemon.http.EntryVmLookup;
import org.lycheetray.daemon.http.HttpFrontendDependencies;
import org.lycheetray.daemon.lifecycle.Phase;
import org.lycheetray.daemon.metrics.PrometheusTextFormat;
import org.lycheetray.daemon.request.RequestPipeline;
import reactor.core.publisher.Mono;
import reactor.netty.http.server.HttpServerRequest;
import reactor.netty.http.server.HttpServerResponse;

/** Handles look-ups of entry VMs, health and readiness checks, metrics and status requests. */
public final class OperatorEndpoints {
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final int OK = 200;
    private static final int BAD_REQUEST = 400;
    private static final int UNAVAILABLE = 503;
    private static final String TEXT_TYPE = "text/plain; charset=utf-8";
    private static final String JSON_TYPE = "application/json";

    /** Age up to which a page is sent again, since it takes far longer to write than a request for it. */
    private static final Duration MAX_PAGE_AGE = Duration.ofMillis(100);

    private final HttpFrontendDependencies dependencies;
    private final Mono<String> metrics;
    private final Mono<String> status;

    /**
     * Creates the handlers.
     *
     * @param dependencies the components whose state is served
     */
    public OperatorEndpoints(HttpFrontendDependencies dependencies) {
        this.dependencies = dependencies;
        this.metrics = Mono.fromSupplier(
                        () -> PrometheusTextFormat.write(dependencies.metrics().registry()))
                .cache(MAX_PAGE_AGE);
        this.status = Mono.defer(dependencies.status()::toJson)
                .map(body -> body + "\n")
                .cache(MAX_PAGE_AGE);
    }

    /**
     * Handles a liveness check; always answers 200.
     *
     * @param res the response to write
     * @return completes when the response has been written
     */
    public Mono<Void> health(HttpServerResponse res) {
        return send(res, OK, TEXT_TYPE, "ok\n");
    }

    /**
     * Handles a readiness check. Answers 200 while the daemon is serving with an active configuration, otherwise 503.
     *
     * @param res the response to write
     * @return completes when the response has been written
     */
    public Mono<Void> ready(HttpServerResponse res) {
        Phase phase = dependencies.lifecycle().phase();
        boolean ready = phase == Phase.SERVING && dependencies.config().active().isPresent();
        String version =
                dependencies.config().active().map(c -> c.version().toString()).orElse("none");
        ObjectNode body = JSON.createObjectNode();
        body.put("ready", ready);
        body.put("phase", phase.name());
        body.put("vm", dependencies.localIncarnation().vm().value());
        body.put("incarnation", dependencies.localIncarnation().number());
        body.put("configVersion", version);
        return send(res, ready ? OK : UNAVAILABLE, JSON_TYPE, body + "\n");
    }

    /**
     * Writes all metrics in the Prometheus text format.
     *
     * @param res the response to write
     * @return completes when the response has been written
     */
    public Mono<Void> metrics(HttpServerResponse res) {
        return metrics.flatMap(page -> send(res, OK, "text/plain; version=0.0.4; charset=utf-8", page));
    }

    /**
     * Writes the state of all subsystems as JSON.
     *
     * @param res the response to write
     * @return completes when the response has been written
     */
    public Mono<Void> status(HttpServerResponse res) {
        return status.flatMap(page -> send(res, OK, JSON_TYPE, page));
    }

    /**
     * Handles a look-up of the entry VMs that a caller should use.
     *
     * @param req the look-up request
     * @param res the response to write
     * @param query query string of the URL, without the question mark
     * @return completes when the response has been written
     */
    public Mono<Void> lookup(HttpServerRequest req, HttpServerResponse res, String query) {
        Map<String, List<String>> parameters = new QueryStringDecoder(query, false).parameters();
        String service = parameters.getOrDefault("service", List.of("")).getFirst();
        if (!NameUtil.isName(service)) {
            return send(res, BAD_REQUEST, JSON_TYPE, errorJson("expected ?service=NAME"));
        }
        Optional<EntryVmLookup.Answer> answer = dependencies
                .lookups()
                .findVms(new EntryVmLookup.Query(clientAddress(req), new ServiceName(service), account(req)));
        dependencies.metrics().lookups().inc();
        return answer.map(a -> send(res, OK, JSON_TYPE, toJson(a)))
                .orElseGet(() -> send(res, UNAVAILABLE, JSON_TYPE, errorJson("no configuration yet")));
    }

    private Optional<ClientAccountName> account(HttpServerRequest req) {
        return RequestPipeline.bearerToken(req.requestHeaders())
                .flatMap(k -> dependencies.config().account(KeyHash.of(k)));
    }

    private static InetAddress clientAddress(HttpServerRequest req) {
        InetSocketAddress remote = req.remoteAddress();
        return remote == null ? InetAddress.getLoopbackAddress() : remote.getAddress();
    }

    private static String toJson(EntryVmLookup.Answer answer) {
        ObjectNode body = JSON.createObjectNode();
        body.put("ttl", Math.max(1, answer.ttl().toSeconds()));
        ArrayNode vms = body.putArray("entryVms");
        for (Vm vm : answer.vms()) {
            vms.addObject()
                    .put("name", vm.name().value())
                    .put("address", vm.callerEndpoint().toString())
                    .put("dataCentre", vm.dataCentre().value());
        }
        return body + "\n";
    }

    private static String errorJson(String message) {
        return JSON.createObjectNode().put("error", message) + "\n";
    }

    private static Mono<Void> send(HttpServerResponse res, int status, String type, String body) {
        return res.status(status)
                .header(HttpHeaderNames.CONTENT_TYPE, type)
                .sendString(Mono.just(body))
                .then();
    }
}
