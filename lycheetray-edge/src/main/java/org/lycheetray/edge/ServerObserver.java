package org.lycheetray.edge;

import java.util.Optional;
import org.lycheetray.core.allowance.RateStatement;
import org.lycheetray.core.placement.AvailabilityStatement;
import org.lycheetray.core.placement.ServerAvailability;
import org.lycheetray.core.registry.RegisteredServer;
import org.lycheetray.core.time.Clock;
import org.lycheetray.daemon.log.LogEvent;
import org.lycheetray.edge.backend.ServerEvents;
import org.lycheetray.edge.exchange.TrafficSteering;
import org.lycheetray.edge.relay.ReachMonitor;

/**
 * Passes what connections reveal about backend servers to the routing state, and to logs and metrics.
 *
 * @param steering the routing state
 * @param metrics logs and metrics
 * @param reach which servers are in reach
 * @param clock source of the current time
 */
record ServerObserver(TrafficSteering steering, EdgeMetrics metrics, ReachMonitor reach, Clock clock)
        implements ServerEvents {
    @Override
    public void connected(RegisteredServer server) {
        reach.recordConnected(server);
    }

    @Override
    public void notConnected(RegisteredServer server) {
        reach.recordNotConnected(server);
    }

    @Override
    public void idleConnectionLost(RegisteredServer server) {
        if (!reach.reach().isCutOff()) {
            steering.suspectRestart(server);
        }
    }

    @Override
    public void rateStated(RegisteredServer server, RateStatement statement) {
        steering.recordRate(server, statement);
    }

    @Override
    public void availabilityStated(
            RegisteredServer server, Optional<String> requestId, AvailabilityStatement statement) {
        if (availability().record(server, statement, clock.monotonic())) {
            metrics.recordAvailability(statement);
            event(statement)
                    .with("server", server.name())
                    .with("incarnation", server.incarnation())
                    .with("answered-id", requestId.orElse("none"))
                    .info();
        }
    }

    private static LogEvent event(AvailabilityStatement statement) {
        return switch (statement) {
            case AvailabilityStatement.Leaving l -> LogEvent.of("server-leaving");
            case AvailabilityStatement.Paused p ->
                LogEvent.of("server-pause").with("requested-ms", p.duration().toMillis());
        };
    }

    /** Logs the ends of the pauses that servers have requested. */
    void logEndedPauses() {
        availability()
                .takeEndedPauses(clock.monotonic())
                .forEach(
                        n -> LogEvent.of("server-pause-ended").with("server", n).info());
    }

    private ServerAvailability availability() {
        return steering.placement().availability();
    }

    @Override
    public void answerIgnored(RegisteredServer server, String requestId, Optional<String> answeredId, int status) {
        metrics.recordIgnoredAnswer(server, requestId, answeredId, status);
    }

    @Override
    public void surplusReceived(RegisteredServer server, String requestId) {
        metrics.recordSurplus(server, requestId);
    }

    @Override
    public void connectionFailed(RegisteredServer server, Throwable error) {
        metrics.recordError("server " + server.name(), error);
    }
}
