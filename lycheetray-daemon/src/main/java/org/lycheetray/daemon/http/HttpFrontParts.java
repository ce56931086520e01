package org.lycheetray.daemon.http;

import org.lycheetray.core.model.Incarnation;
import org.lycheetray.core.time.Clock;
import org.lycheetray.daemon.config.ConfigView;
import org.lycheetray.daemon.lifecycle.Lifecycle;
import org.lycheetray.daemon.metrics.FleetMetrics;
import org.lycheetray.daemon.request.RequestObserver;
import org.lycheetray.daemon.request.RequestPipeline;
import org.lycheetray.daemon.status.StatusReport;

/**
 * What the HTTP front needs of the daemon.
 *
 * @param self this process
 * @param clock clock for latencies and the ledger
 * @param lifecycle the daemon's phase
 * @param config configuration in force
 * @param lookups answers look-ups
 * @param pipeline runs requests
 * @param observer learns of finished requests
 * @param metrics metrics that the operators' page shows
 * @param status state that the operators' page shows
 */
public record HttpFrontParts(
        Incarnation self,
        Clock clock,
        Lifecycle lifecycle,
        ConfigView config,
        LookupGate lookups,
        RequestPipeline pipeline,
        RequestObserver observer,
        FleetMetrics metrics,
        StatusReport status) {}
