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

/** The daemon's metrics; safe for all threads. */
public final class FleetMetrics {
    private static final String OPEN = "open";

    private final MetricRegistry registry = new MetricRegistry();
    private final Counter lookups = registry.counter("lycheetray_lookups_total");
    private final Counter malformed = registry.counter("lycheetray_malformed_http_total");

    /**
     * The registry that holds everything.
     *
     * @return the registry
     */
    public MetricRegistry registry() {
        return registry;
    }

    /**
     * Counts look-ups.
     *
     * @return the counter
     */
    public Counter lookups() {
        return lookups;
    }

    /**
     * Counts messages on the callers' port that are not HTTP.
     *
     * @return the counter
     */
    public Counter malformed() {
        return malformed;
    }

    /**
     * Registers a value that is read when the page is written.
     *
     * @param name name of the metric
     * @param value reads the value, must not block
     */
    public void gauge(String name, DoubleSupplier value) {
        registry.gauge(name, () -> (Gauge<Double>) value::getAsDouble);
    }

    /**
     * Counts a finished request and its latency for its client account and route class.
     *
     * @param request the request
     */
    public void finished(FinishedRequest request) {
        String account = request.account().map(ClientAccountName::value).orElse(OPEN);
        String routeClass =
                request.route().map(Route::routeClass).map(RouteClass::label).orElse("none");
        MetricName latency = MetricName.of("lycheetray_request_latency_seconds")
                .with("account", account)
                .with("class", routeClass);
        registry.timer(latency.registryName(), () -> new Timer(new HdrReservoir()))
                .update(request.latency().toNanos(), TimeUnit.NANOSECONDS);
        MetricName count = MetricName.of("lycheetray_requests_total")
                .with("account", account)
                .with("class", routeClass)
                .with("outcome", request.outcome().label());
        registry.counter(count.registryName()).inc();
        if (request.status() >= 400) {
            registry.counter(MetricName.of("lycheetray_refusals_total")
                            .with("reason", request.reason())
                            .registryName())
                    .inc();
        }
    }
}
