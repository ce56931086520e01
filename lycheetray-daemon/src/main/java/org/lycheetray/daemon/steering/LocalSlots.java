package org.lycheetray.daemon.steering;

import java.time.Duration;
import java.util.Comparator;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.atomic.AtomicBoolean;
import org.lycheetray.core.health.UsableServer;
import org.lycheetray.core.model.BackendServer;
import org.lycheetray.core.model.BackendServerName;
import org.lycheetray.core.model.DataCentreName;
import org.lycheetray.daemon.control.ControlThread;
import org.lycheetray.daemon.request.AttemptResult;
import org.lycheetray.daemon.request.RequestContext;
import org.lycheetray.daemon.request.SlotGate;
import org.lycheetray.daemon.running.ServerHealth;
import reactor.core.publisher.Mono;

/** Counts only this VM's own requests and prefers backend servers of its own data centre. */
public final class LocalSlots implements SlotGate {
    private static final Duration RETRY_AFTER = Duration.ofSeconds(1);

    private final ControlThread control;
    private final DataCentreName own;
    private final ServerHealth health;
    private final Map<BackendServerName, Integer> used = new HashMap<>();

    /**
     * Creates the gate.
     *
     * @param control owns the counts
     * @param own data centre of this VM
     * @param health tells which servers get new work
     */
    public LocalSlots(ControlThread control, DataCentreName own, ServerHealth health) {
        this.health = health;
        this.control = control;
        this.own = own;
    }

    @Override
    public Mono<Decision> acquire(RequestContext request, Set<BackendServerName> tried) {
        return control.call(() -> decide(request, tried));
    }

    private Decision decide(RequestContext request, Set<BackendServerName> tried) {
        Optional<BackendServer> server = request.config().manifest().backendServers().stream()
                .filter(s -> s.service().equals(request.route().service()))
                .filter(s -> !tried.contains(s.name()) && count(s) < slots(s))
                .min(Comparator.<BackendServer>comparingInt(s -> s.dataCentre().equals(own) ? 0 : 1)
                        .thenComparingInt(this::count));
        if (server.isEmpty()) {
            return new Decision.Refused("all backend servers are busy", Optional.of(RETRY_AFTER));
        }
        used.merge(server.get().name(), 1, Integer::sum);
        return new Decision.Granted(new LocalSlot(server.get()));
    }

    private int slots(BackendServer s) {
        return health.usable(s.name()).map(UsableServer::slots).orElse(0);
    }

    private int count(BackendServer s) {
        return used.getOrDefault(s.name(), 0);
    }

    private final class LocalSlot implements Slot {
        private final BackendServer server;
        private final AtomicBoolean released = new AtomicBoolean();

        LocalSlot(BackendServer server) {
            this.server = server;
        }

        @Override
        public BackendServer server() {
            return server;
        }

        @Override
        public String reason() {
            return server.dataCentre().equals(own) ? "own-data-centre" : "other-data-centre";
        }

        @Override
        public void release(AttemptResult result) {
            if (released.compareAndSet(false, true)) {
                control.execute("release-slot", () -> used.merge(server.name(), -1, Integer::sum));
            }
        }
    }
}
