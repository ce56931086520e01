package org.lycheetray.daemon.running;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.lycheetray.core.model.Incarnation;
import org.lycheetray.core.once.SuspectRecord;
import org.lycheetray.core.time.Clock;
import org.lycheetray.daemon.config.ConfigView;
import org.lycheetray.daemon.control.ControlThread;
import org.lycheetray.daemon.lifecycle.Closer;
import org.lycheetray.daemon.metrics.DaemonMetrics;
import org.lycheetray.daemon.peer.PeerNetwork;
import org.lycheetray.daemon.status.StatusReport;
import org.lycheetray.platform.PlatformClient;

/** Safeguards of requests on this VM: claims, health of backend servers, retry budget and quarantine. */
public final class Safeguards implements AutoCloseable {
    private final Closer closer = new Closer();
    private final ClaimTableGate claims;
    private final ServerHealth health;
    private final AttemptMonitor attempts;

    private Safeguards(
            Incarnation localIncarnation,
            PlatformClient platform,
            ControlThread control,
            PeerNetwork peers,
            ConfigView config,
            Clock clock) {
        HealthProbe probe = closer.add("health-probe", new HealthProbe());
        health = new ServerHealth(control, config, clock, probe);
        SuspectExchange exchange = new SuspectExchange(localIncarnation, peers, platform.tables(), config, clock);
        attempts = new AttemptMonitor(health, probe, exchange, clock);
        claims = closer.add("claims", new ClaimTableGate(localIncarnation, platform, control, peers, config, clock));
        new ClaimCleanup(platform.tables(), control, claims, config, clock).start();
    }

    /**
     * Creates and starts the components; must be called before the peer network listens.
     *
     * @param localIncarnation incarnation of this process
     * @param platform client of the table service and the object store
     * @param control thread that owns the state of claims and server health
     * @param peers network to other VMs
     * @param config configuration in force
     * @param clock clock of the process
     * @return the started components
     */
    public static Safeguards create(
            Incarnation localIncarnation,
            PlatformClient platform,
            ControlThread control,
            PeerNetwork peers,
            ConfigView config,
            Clock clock) {
        return new Safeguards(localIncarnation, platform, control, peers, config, clock);
    }

    /**
     * Returns the gate for claims of {@code once} requests.
     *
     * @return the claim gate
     */
    public ClaimTableGate claims() {
        return claims;
    }

    /**
     * Returns the health of backend servers.
     *
     * @return the health state
     */
    public ServerHealth health() {
        return health;
    }

    /**
     * Returns the gate for attempts.
     *
     * @return the attempt monitor
     */
    public AttemptMonitor attempts() {
        return attempts;
    }

    /**
     * Registers the metrics and a section of the status page.
     *
     * @param metrics registry for the metrics
     * @param status the status page
     */
    public void expose(DaemonMetrics metrics, StatusReport status) {
        status.addSection("running", this::describe);
        metrics.registerGauge("lycheetray_retries_total", attempts::retryCount);
        metrics.registerGauge("lycheetray_claim_writes_total", claims::writeCount);
        metrics.registerGauge("lycheetray_claims_open", claims::openClaims);
    }

    private void describe(ObjectNode node) {
        node.put("claimsOpen", claims.openClaims());
        node.put("claimWrites", claims.writeCount());
        node.put("retries", attempts.retryCount());
        ObjectNode servers = node.putObject("servers");
        health.states().forEach((name, state) -> servers.put(name.value(), state.name()));
        ArrayNode suspects = node.putArray("suspects");
        for (SuspectRecord r : attempts.suspects()) {
            suspects.addObject()
                    .put("digest", r.digest().hex())
                    .put("crashes", r.crashCount())
                    .put("quarantinedUntil", r.quarantinedUntil().toString());
        }
    }

    @Override
    public void close() {
        closer.close();
    }
}
