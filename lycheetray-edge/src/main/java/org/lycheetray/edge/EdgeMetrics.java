package org.lycheetray.edge;

import com.codahale.metrics.Gauge;
import com.codahale.metrics.MetricRegistry;
import com.codahale.metrics.Timer;
import java.time.Duration;
import java.util.Locale;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.DoubleSupplier;
import org.lycheetray.core.model.ClientAccountName;
import org.lycheetray.core.placement.AvailabilityStatement;
import org.lycheetray.core.registry.RegisteredServer;
import org.lycheetray.core.time.Clock;
import org.lycheetray.daemon.log.LogEvent;
import org.lycheetray.daemon.log.RateLimitedLog;
import org.lycheetray.daemon.metrics.HdrReservoir;
import org.lycheetray.daemon.metrics.PrometheusTextFormat;
import org.lycheetray.edge.exchange.ExchangeObserver;
import org.lycheetray.edge.front.ReplyObserver;
import org.lycheetray.edge.log.RequestLog;
import org.lycheetray.edge.relay.RelayContext;

/** Records metrics and a log line for each finished request. Not thread-safe: use only on the event loop. */
final class EdgeMetrics implements ExchangeObserver, ReplyObserver, RelayContext.RelayObserver {
    private static final Duration REJECTION_LOG_INTERVAL = Duration.ofMinutes(1);

    private final MetricRegistry registry = new MetricRegistry();
    private final RequestLog log;
    private final RateLimitedLog rejectionLog;

    EdgeMetrics(Clock clock) {
        this.log = new RequestLog(clock);
        this.rejectionLog = new RateLimitedLog(clock, REJECTION_LOG_INTERVAL);
    }

    void registerGauge(String name, DoubleSupplier value) {
        registry.gauge(name, () -> (Gauge<Double>) value::getAsDouble);
    }

    String text() {
        return PrometheusTextFormat.write(registry);
    }

    @Override
    public void exchangeFinished(FinishedExchange r) {
        String route = r.route().orElse("none");
        registry.timer("lycheetray_request_latency_seconds|route=" + route, () -> new Timer(new HdrReservoir()))
                .update(r.duration().toNanos(), TimeUnit.NANOSECONDS);
        registry.counter("lycheetray_requests_total|outcome=" + r.outcome() + "|route=" + route + "|status="
                        + r.status())
                .inc();
        log.write(LogEvent.of("request")
                .with("id", r.id())
                .with("route", route)
                .with("account", r.account().map(ClientAccountName::value).orElse("none"))
                .with("object", r.object().orElse("none"))
                .with("service", r.service().map(Object::toString).orElse("none"))
                .with("config", r.config())
                .with("status", r.status())
                .with("outcome", r.outcome())
                .with("ms", r.duration().toMillis())
                .with("attempts", r.attempts()));
    }

    @Override
    public void replyNotDelivered(String requestId, int status, Cause cause) {
        String reason = cause.name().toLowerCase(Locale.ROOT).replace('_', '-');
        registry.counter("lycheetray_replies_not_delivered_total|cause=" + reason)
                .inc();
        log.write(LogEvent.of("reply-not-delivered")
                .with("id", requestId)
                .with("status", status)
                .with("cause", reason));
    }

    @Override
    public void connectionFailed(Throwable error) {
        recordError("caller", error);
    }

    /**
     * Records an unexpected error, after which the VM goes on.
     *
     * @param where connection or task that it ended
     * @param error the error
     */
    void recordError(String where, Throwable error) {
        registry.counter("lycheetray_errors_total").inc();
        LogEvent.of("task-failed").with("where", where).with("cause", error).error();
    }

    @Override
    public void relayed(String requestId, String vm, String server, String result, Duration took) {
        registry.counter("lycheetray_relayed_requests_total").inc();
        log.write(LogEvent.of("relayed-request")
                .with("id", requestId)
                .with("from", vm)
                .with("server", server)
                .with("result", result)
                .with("ms", took.toMillis()));
    }

    @Override
    public void rejected(String from, String reason) {
        registry.counter("lycheetray_relay_messages_rejected_total").inc();
        rejectionLog.logOncePerInterval(
                from,
                () -> LogEvent.of("relay-message-rejected")
                        .with("from", from)
                        .with("why", reason)
                        .warn());
    }

    /**
     * Records that a backend server has announced its leaving or requested a pause.
     *
     * @param statement the server's statement
     */
    void recordAvailability(AvailabilityStatement statement) {
        String name = switch (statement) {
            case AvailabilityStatement.Leaving l -> "lycheetray_servers_leaving_total";
            case AvailabilityStatement.Paused p -> "lycheetray_server_pauses_total";
        };
        registry.counter(name).inc();
    }

    /**
     * Records that an answer did not belong to the request that was running on its connection.
     *
     * @param server the server that sent it
     * @param requestId identifier of the request that was running
     * @param answeredId identifier in the answer, empty if it has none
     * @param status status of the answer
     */
    void recordIgnoredAnswer(RegisteredServer server, String requestId, Optional<String> answeredId, int status) {
        registry.counter("lycheetray_answers_ignored_total").inc();
        log.write(LogEvent.of("answer-ignored")
                .with("server", server.name())
                .with("incarnation", server.incarnation())
                .with("id", requestId)
                .with("answered-id", answeredId.orElse("none"))
                .with("status", status));
    }

    /**
     * Records bytes that a backend server sent after a whole answer.
     *
     * @param server the server
     * @param requestId identifier of the request that was answered, empty if there was none
     */
    void recordSurplus(RegisteredServer server, String requestId) {
        registry.counter("lycheetray_answer_surplus_total").inc();
        log.write(LogEvent.of("answer-surplus")
                .with("server", server.name())
                .with("incarnation", server.incarnation())
                .with("id", requestId.isEmpty() ? "none" : requestId));
    }
}
