package org.lycheetray.daemon.running;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.lycheetray.core.model.Incarnation;
import org.lycheetray.core.once.SuspectRecord;
import org.lycheetray.core.time.Clock;
import org.lycheetray.daemon.config.ConfigView;
import org.lycheetray.daemon.control.ControlThread;
import org.lycheetray.daemon.lifecycle.Closer;
import org.lycheetray.daemon.metrics.FleetMetrics;
import org.lycheetray.daemon.peer.PeerNetwork;
import org.lycheetray.daemon.status.StatusReport;
import org.lycheetray.platform.PlatformClient;

/** Everything on this VM that sees to it that a request runs at most once and on a server that can take it. */
public final class Running implements AutoCloseable {
    private final Closer closer = new Closer();
    private final GroupClaims claims;
    private final ServerHealth health;
    private final WatchedAttempts attempts;

    private Running(
            Incarnation self,
            PlatformClient platform,
            ControlThread control,
            PeerNetwork peers,
            ConfigView config,
            Clock clock) {
        HealthProbe probe = closer.add("health-probe", new HealthProbe());
        health = new ServerHealth(control, config, clock, probe);
        SuspectExchange exchange = new SuspectExchange(self, peers, platform.tables(), config, clock);
        attempts = new WatchedAttempts(health, probe, exchange, clock);
        claims = closer.add("claims", new GroupClaims(self, platform, control, peers, config, clock));
        new ClaimCleanup(platform.tables(), control, claims, config, clock).start();
    }

    /**
     * Starts; must be called before the peer network listens.
     *
     * @param self this process
     * @param platform table service and object store
     * @param control owns the decisions
     * @param peers reaches other VMs
     * @param config configuration in force
     * @param clock clock of the process
     * @return the running parts
     */
    public static Running create(
            Incarnation self,
            PlatformClient platform,
            ControlThread control,
            PeerNetwork peers,
            ConfigView config,
            Clock clock) {
        return new Running(self, platform, control, peers, config, clock);
    }

    /**
     * Gives the gate of {@code once} requests.
     *
     * @return the claims
     */
    public GroupClaims claims() {
        return claims;
    }

    /**
     * Gives the health of backend servers.
     *
     * @return the health, safe for all threads
     */
    public ServerHealth health() {
        return health;
    }

    /**
     * Gives the gate of attempts.
     *
     * @return the watch over attempts
     */
    public WatchedAttempts attempts() {
        return attempts;
    }

    /**
     * Registers metrics and the section of the status page.
     *
     * @param metrics the registry
     * @param status the page
     */
    public void expose(FleetMetrics metrics, StatusReport status) {
        status.section("running", this::describe);
        metrics.gauge("lycheetray_retries_total", attempts::retries);
        metrics.gauge("lycheetray_claim_writes_total", claims::writes);
        metrics.gauge("lycheetray_claims_open", claims::open);
    }

    private void describe(ObjectNode node) {
        node.put("claimsOpen", claims.open());
        node.put("claimWrites", claims.writes());
        node.put("retries", attempts.retries());
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
