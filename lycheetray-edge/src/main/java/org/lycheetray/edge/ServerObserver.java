package org.lycheetray.edge;

import java.util.Optional;
import org.lycheetray.core.allowance.RateStatement;
import org.lycheetray.core.registry.RegisteredServer;
import org.lycheetray.edge.backend.ServerEvents;
import org.lycheetray.edge.exchange.TrafficSteering;

/**
 * Passes what connections reveal about backend servers to the routing state, and to logs and metrics.
 *
 * @param steering the routing state
 * @param metrics logs and metrics
 */
record ServerObserver(TrafficSteering steering, EdgeMetrics metrics) implements ServerEvents {
    @Override
    public void idleConnectionLost(RegisteredServer server) {
        steering.suspectRestart(server);
    }

    @Override
    public void rateStated(RegisteredServer server, RateStatement statement) {
        steering.recordRate(server, statement);
    }

    @Override
    public void answerIgnored(RegisteredServer server, String requestId, Optional<String> answeredId, int status) {
        metrics.recordIgnoredAnswer(server, requestId, answeredId, status);
    }

    @Override
    public void connectionFailed(RegisteredServer server, Throwable error) {
        metrics.recordError("server " + server.name(), error);
    }
}
