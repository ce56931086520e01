package org.lycheetray.daemon.metrics;

import com.codahale.metrics.Counter;
import com.codahale.metrics.Gauge;
import com.codahale.metrics.MetricRegistry;
import com.codahale.metrics.Timer;
import java.util.concurrent.TimeUnit;
import java.util.function.DoubleSupplier;
import org.lycheetray.core.model.ClientAccountName;
import org.lycheetray.core.model.Route;
import org.lycheetray.core.model.RouteClass;
import org.lycheetray.daemon.request.FinishedRequest;

/** Metrics of one entry VM. Thread-safe. */
public final class DaemonMetrics {
    private static final String NO_ACCOUNT = "open";

    private final MetricRegistry registry = new MetricRegistry();
    private final Counter lookups = registry.counter("lycheetray_lookups_total");
    private final Counter malformedRequests = registry.counter("lycheetray_malformed_http_total");

    /**
     * Returns the registry that contains all metrics of the VM.
     *
     * @return the registry
     */
    public MetricRegistry registry() {
        return registry;
    }

    /**
     * Returns the counter of look-ups.
     *
     * @return the counter
     */
    public Counter lookups() {
        return lookups;
    }

    /**
     * Returns the counter of messages on the callers' port that cannot be decoded as HTTP.
     *
     * @return the counter
     */
    public Counter malformedRequests() {
        return malformedRequests;
    }

    /**
     * Registers a gauge that is read each time the metrics are exported.
     *
     * @param name name of the metric
     * @param value supplies the current value; must not block
     */
    public void registerGauge(String name, DoubleSupplier value) {
        registry.gauge(name, () -> (Gauge<Double>) value::getAsDouble);
    }

    /**
     * Records the outcome and latency of a finished request, labelled by client account and route class.
     *
     * @param request the finished request
     */
    public void recordRequest(FinishedRequest request) {
        String account = request.account().map(ClientAccountName::value).orElse(NO_ACCOUNT);
        String routeClass =
                request.route().map(Route::routeClass).map(RouteClass::label).orElse("none");
        MetricName latency = MetricName.of("lycheetray_request_latency_seconds")
                .withLabel("account", account)
                .withLabel("class", routeClass);
        registry.timer(latency.registryName(), () -> new Timer(new HdrReservoir()))
                .update(request.latency().toNanos(), TimeUnit.NANOSECONDS);
        MetricName count = MetricName.of("lycheetray_requests_total")
                .withLabel("account", account)
                .withLabel("class", routeClass)
                .withLabel("outcome", request.outcome().label());
        registry.counter(count.registryName()).inc();
        if (request.status() >= 400) {
            registry.counter(MetricName.of("lycheetray_refusals_total")
                            .withLabel("reason", request.reason())
                            .registryName())
                    .inc();
        }
    }
}
