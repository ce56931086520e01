package org.lycheetray.daemon.http;

import org.lycheetray.core.model.Incarnation;
import org.lycheetray.core.time.Clock;
import org.lycheetray.daemon.config.ConfigView;
import org.lycheetray.daemon.lifecycle.Lifecycle;
import org.lycheetray.daemon.metrics.DaemonMetrics;
import org.lycheetray.daemon.request.RequestObserver;
import org.lycheetray.daemon.request.RequestPipeline;
import org.lycheetray.daemon.status.StatusReport;

/**
 * The components of the daemon that the HTTP frontend uses.
 *
 * @param localIncarnation incarnation of the local VM
 * @param clock clock for latencies and for the start times in the ledger
 * @param lifecycle phase of the daemon and number of requests in progress
 * @param config the active configuration
 * @param lookups answers look-ups of entry VMs
 * @param pipeline processes requests
 * @param observer notified once of each finished request
 * @param metrics metrics served at {@code /metrics}
 * @param status state served at {@code /statusz}
 */
public record HttpFrontendDependencies(
        Incarnation localIncarnation,
        Clock clock,
        Lifecycle lifecycle,
        ConfigView config,
        EntryVmLookup lookups,
        RequestPipeline pipeline,
        RequestObserver observer,
        DaemonMetrics metrics,
        StatusReport status) {}
