package org.lycheetray.daemon.http.internal;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.QueryStringDecoder;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.lycheetray.core.model.ClientAccountName;
import org.lycheetray.core.model.KeyHash;
import org.lycheetray.core.model.NameUtil;
import org.lycheetray.core.model.ServiceName;
import org.lycheetray.core.model.Vm;
import org.lycheetray.daemon.http.HttpFrontParts;
import org.lycheetray.daemon.http.LookupGate;
import org.lycheetray.daemon.lifecycle.Phase;
import org.lycheetray.daemon.metrics.PrometheusText;
import org.lycheetray.daemon.request.RequestPipeline;
import reactor.core.publisher.Mono;
import reactor.netty.http.server.HttpServerRequest;
import reactor.netty.http.server.HttpServerResponse;

/** Look-ups and the pages for operators. */
public final class OperatorPages {
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final int OK = 200;
    private static final int BAD_REQUEST = 400;
    private static final int UNAVAILABLE = 503;
    private static final String TEXT = "text/plain; charset=utf-8";
    private static final String JSON_TYPE = "application/json";

    private final HttpFrontParts parts;

    /**
     * Creates the pages.
     *
     * @param parts what they show
     */
    public OperatorPages(HttpFrontParts parts) {
        this.parts = parts;
    }

    /**
     * Says that the process runs.
     *
     * @param res where to write
     * @return completes when written
     */
    public Mono<Void> health(HttpServerResponse res) {
        return text(res, OK, TEXT, "ok\n");
    }

    /**
     * Says whether callers should be sent here.
     *
     * @param res where to write
     * @return completes when written
     */
    public Mono<Void> ready(HttpServerResponse res) {
        Phase phase = parts.lifecycle().phase();
        boolean ready = phase == Phase.SERVING && parts.config().active().isPresent();
        String version =
                parts.config().active().map(c -> c.version().toString()).orElse("none");
        ObjectNode body = JSON.createObjectNode();
        body.put("ready", ready);
        body.put("phase", phase.name());
        body.put("vm", parts.self().vm().value());
        body.put("incarnation", parts.self().number());
        body.put("configVersion", version);
        return text(res, ready ? OK : UNAVAILABLE, JSON_TYPE, body + "\n");
    }

    /**
     * Writes all metrics.
     *
     * @param res where to write
     * @return completes when written
     */
    public Mono<Void> metrics(HttpServerResponse res) {
        String page = PrometheusText.write(parts.metrics().registry());
        return text(res, OK, "text/plain; version=0.0.4; charset=utf-8", page);
    }

    /**
     * Writes the state of all subsystems.
     *
     * @param res where to write
     * @return completes when written
     */
    public Mono<Void> status(HttpServerResponse res) {
        return parts.status().write().flatMap(body -> text(res, OK, JSON_TYPE, body + "\n"));
    }

    /**
     * Answers which entry VMs to use.
     *
     * @param req the look-up
     * @param res where to write
     * @param query query of the URL
     * @return completes when written
     */
    public Mono<Void> lookup(HttpServerRequest req, HttpServerResponse res, String query) {
        Map<String, List<String>> parameters = new QueryStringDecoder(query, false).parameters();
        String service = parameters.getOrDefault("service", List.of("")).getFirst();
        if (!NameUtil.isName(service)) {
            return text(res, BAD_REQUEST, JSON_TYPE, error("expected ?service=NAME"));
        }
        Optional<LookupGate.Answer> answer =
                parts.lookups().find(new LookupGate.Lookup(client(req), new ServiceName(service), account(req)));
        parts.metrics().lookups().inc();
        return answer.map(a -> text(res, OK, JSON_TYPE, write(a)))
                .orElseGet(() -> text(res, UNAVAILABLE, JSON_TYPE, error("no configuration yet")));
    }

    private Optional<ClientAccountName> account(HttpServerRequest req) {
        return RequestPipeline.key(req.requestHeaders())
                .flatMap(k -> parts.config().account(KeyHash.of(k)));
    }

    private static InetAddress client(HttpServerRequest req) {
        InetSocketAddress remote = req.remoteAddress();
        return remote == null ? InetAddress.getLoopbackAddress() : remote.getAddress();
    }

    private static String write(LookupGate.Answer answer) {
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

    private static String error(String message) {
        return JSON.createObjectNode().put("error", message) + "\n";
    }

    private static Mono<Void> text(HttpServerResponse res, int status, String type, String body) {
        return res.status(status)
                .header(HttpHeaderNames.CONTENT_TYPE, type)
                .sendString(Mono.just(body))
                .then();
    }
}
