package org.lycheetray.edge.relay;

import java.util.Optional;
import java.util.function.Consumer;
import java.util.random.RandomGenerator;
import org.lycheetray.core.fleet.FleetView;
import org.lycheetray.core.reach.ServerReach;
import org.lycheetray.core.reach.VmReach;
import org.lycheetray.core.registry.RegisteredServer;
import org.lycheetray.core.time.Clock;
import org.lycheetray.core.time.MonotonicTime;
import org.lycheetray.daemon.log.LogEvent;
import org.lycheetray.edge.exchange.TrafficSteering;

/**
 * Follows which backend servers the local VM reaches, and applies what that means to its routing state.
 *
 * <p>Failures seen while the VM was losing its paths are not held against the servers. Not thread-safe: used on the event
 * loop only.
 */
public final class ReachMonitor {
    private final ServerReach reach;
    private final TrafficSteering steering;
    private final FleetView fleet;
    private final Clock clock;
    private VmReach reported;
    private boolean reportDue;
    private Runnable onCutOff = () -> {};

    /**
     * Creates a monitor that takes the VM to reach all servers.
     *
     * @param steering the routing state
     * @param fleet the other VMs and what look-ups return
     * @param clock source of the current time
     * @param random source of randomness for the choice of the servers to check
     */
    public ReachMonitor(TrafficSteering steering, FleetView fleet, Clock clock, RandomGenerator random) {
        this.reach = new ServerReach(random, clock.monotonic());
        this.steering = steering;
        this.fleet = fleet;
        this.clock = clock;
        this.reported = reach.state();
    }

    /**
     * Returns which servers are in reach.
     *
     * @return the belief; connections, which may change the state, must be recorded by this class
     */
    public ServerReach reach() {
        return reach;
    }

    /**
     * Sets what is called when the VM has lost its paths to all servers.
     *
     * @param action the action
     */
    public void onCutOff(Runnable action) {
        onCutOff = action;
    }

    /** Applies a changed set of registered servers. */
    public void updateServers() {
        reach.updateServers(steering.servers());
    }

    /**
     * Records that a connection to a server was established.
     *
     * @param server the server
     */
    public void recordConnected(RegisteredServer server) {
        reach.recordConnected(server.name(), clock.monotonic());
        applyChange(Optional.of(server));
    }

    /**
     * Records that a connection to a server could not be established.
     *
     * @param server the server
     */
    public void recordNotConnected(RegisteredServer server) {
        reach.recordConnectFailed(server.name(), clock.monotonic());
        applyChange(Optional.of(server));
    }

    /**
     * Starts the checks that are due.
     *
     * @param oldest the oldest request that is unanswered on a connection of the local VM
     * @param check opens a connection to a server and reports the result
     */
    void startChecks(Optional<ServerReach.UnansweredRequest> oldest, Consumer<RegisteredServer> check) {
        var due = reach.takeChecks(oldest, clock.monotonic());
        applyChange(Optional.empty());
        due.forEach(check);
    }

    private void applyChange(Optional<RegisteredServer> evidence) {
        VmReach now = reach.state();
        if (now.getClass().equals(reported.getClass())) {
            return;
        }
        MonotonicTime time = clock.monotonic();
        LogEvent.of("reach-changed")
                .with("from", reported.stateName())
                .with("to", now.stateName())
                .with("server", evidence.map(s -> s.name().value()).orElse("none"))
                .with("failed-servers", now instanceof VmReach.CutOff c ? c.failedServers() : 0)
                .with("servers-out-of-reach", reach.outOfReachCount())
                .with("relays", fleet.relays(time).size())
                .with("after-ms", time.since(reported.since()).toMillis())
                .info();
        boolean cutBefore = reported instanceof VmReach.CutOff;
        reported = now;
        if (cutBefore != reach.isCutOff()) {
            fleet.recordLocalReach(!reach.isCutOff());
            steering.placement().clearFaults(time);
            reportDue = true;
        }
        if (reach.isCutOff()) {
            onCutOff.run();
        }
    }

    /**
     * Returns whether the other VMs should be told at once.
     *
     * @return true if the VM has lost or regained its paths since the last report
     */
    public boolean isReportDue() {
        return reportDue;
    }

    /** Records that a report was sent. */
    public void recordReported() {
        reportDue = false;
    }
}
