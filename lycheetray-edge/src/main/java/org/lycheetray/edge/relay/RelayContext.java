package org.lycheetray.edge.relay;

import java.time.Duration;
import java.util.Optional;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.lycheetray.core.fleet.FleetMember;
import org.lycheetray.core.fleet.FleetView;
import org.lycheetray.core.reach.ServerReach;
import org.lycheetray.core.registry.RegisteredServer;
import org.lycheetray.core.suspect.RequestFingerprint;
import org.lycheetray.core.time.Clock;
import org.lycheetray.edge.MemoryBudget;
import org.lycheetray.edge.backend.BackendClient;
import org.lycheetray.edge.dialect.BackendDialect;
import org.lycheetray.edge.exchange.TrafficSteering;

/**
 * The collaborators of the connections on which other VMs ask for relayed requests.
 *
 * @param localVm returns the local VM once it is registered
 * @param fleet the other VMs, which alone may ask
 * @param steering the local VM's routing state
 * @param backends sends requests to backend servers
 * @param reach which servers the local VM reaches
 * @param servers headers exchanged with backend servers
 * @param budget limit of the memory for requests and answers
 * @param serving returns false while the local VM does not accept requests
 * @param crashes finds out whether a lost connection means that the server has crashed
 * @param observer receives each finished or rejected request
 * @param clock source of the current time
 */
public record RelayContext(
        Supplier<Optional<FleetMember>> localVm,
        FleetView fleet,
        TrafficSteering steering,
        BackendClient backends,
        ServerReach reach,
        BackendDialect servers,
        MemoryBudget budget,
        BooleanSupplier serving,
        CrashCheck crashes,
        RelayObserver observer,
        Clock clock) {
    /** Finds out whether a server has crashed, and records the crash for the request that was in flight. */
    @FunctionalInterface
    public interface CrashCheck {
        /**
         * Checks a server to which a connection was lost.
         *
         * @param server the server
         * @param request computes the fingerprint of the request
         * @param callback called with true if the server has crashed
         */
        void run(RegisteredServer server, Supplier<RequestFingerprint> request, Consumer<Boolean> callback);
    }

    /** Receives what becomes of the requests of other VMs. */
    public interface RelayObserver {
        /**
         * A request has ended.
         *
         * @param requestId identifier of the request
         * @param vm the VM that asked
         * @param server the server
         * @param result description of the result
         * @param took time since the request was read
         */
        void relayed(String requestId, String vm, String server, String result, Duration took);

        /**
         * A message was rejected and its connection closed.
         *
         * @param from address of the sender
         * @param reason why
         */
        void rejected(String from, String reason);
    }
}
