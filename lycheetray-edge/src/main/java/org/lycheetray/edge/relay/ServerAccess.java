package org.lycheetray.edge.relay;

import io.netty.handler.codec.http.HttpHeaders;
import java.time.Duration;
import java.util.Collection;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.lycheetray.core.fleet.FleetMember;
import org.lycheetray.core.fleet.FleetView;
import org.lycheetray.core.model.ClientAccountName;
import org.lycheetray.core.model.VmName;
import org.lycheetray.core.placement.AvailabilityStatement;
import org.lycheetray.core.reach.RelaySelection;
import org.lycheetray.core.reach.ServerReach;
import org.lycheetray.core.registry.RegisteredServer;
import org.lycheetray.core.time.Clock;
import org.lycheetray.core.time.MonotonicTime;
import org.lycheetray.edge.backend.Attempt;
import org.lycheetray.edge.backend.AttemptResult;
import org.lycheetray.edge.backend.AttemptResult.NotRunReason;
import org.lycheetray.edge.backend.BackendClient;
import org.lycheetray.edge.backend.OutgoingRequest;
import org.lycheetray.edge.backend.ServerEvents;
import org.lycheetray.edge.dialect.BackendDialect;
import org.lycheetray.edge.exchange.TrafficSteering;
import org.lycheetray.protocol.generated.RelayRequest;

/**
 * Sends requests to backend servers, by the local VM's own connections or through another VM.
 *
 * <p>A request to which nothing was sent because a connection could not be established goes through another VM, whatever
 * its kind. One that may have reached the server is not sent a second time here. Not thread-safe: used on the event loop
 * only.
 */
public final class ServerAccess {
    /** Maximum number of VMs that are asked for one attempt while the own paths may be at fault; otherwise it is one. */
    private static final int MAX_RELAYS = 2;

    /** Time within which a refused connection fails, as opposed to one that is not answered. */
    private static final Duration QUICK_FAILURE = Duration.ofMillis(200);

    private final BackendClient direct;
    private final RelayClient relayClient;
    private final ReachMonitor monitor;
    private final RelaySelection selection;
    private final Collaborators collaborators;
    private final Map<Attempt, ServerReach.UnansweredRequest> unanswered = new LinkedHashMap<>();

    /**
     * What the access shares with other parts of the VM.
     *
     * @param localVm returns the local VM once it is registered
     * @param fleet the other VMs
     * @param steering the routing state
     * @param servers headers exchanged with backend servers
     * @param events receives what servers say apart from the results of attempts
     * @param clock source of the current time
     */
    public record Collaborators(
            Supplier<Optional<FleetMember>> localVm,
            FleetView fleet,
            TrafficSteering steering,
            BackendDialect servers,
            ServerEvents events,
            Clock clock) {}

    /** One attempt, with the VMs that were asked for it and whether the local VM has tried itself. */
    private record Send(
            RegisteredServer server, int maxConnections, Attempt attempt, Set<VmName> asked, AtomicBoolean tried) {}

    /**
     * Creates an access without requests.
     *
     * @param direct sends requests by own connections
     * @param relayClient asks other VMs to send requests
     * @param monitor which servers are in reach
     * @param selection selects the VM to ask
     * @param collaborators what is shared with other parts of the VM
     */
    public ServerAccess(
            BackendClient direct,
            RelayClient relayClient,
            ReachMonitor monitor,
            RelaySelection selection,
            Collaborators collaborators) {
        this.direct = direct;
        this.relayClient = relayClient;
        this.monitor = monitor;
        this.selection = selection;
        this.collaborators = collaborators;
    }

    /**
     * Sends a request to a server once, without retries.
     *
     * @param server server to send to
     * @param maxConnections limit of the local VM's connections to the server
     * @param request the request
     * @param callback called with the result, on the event loop
     * @return the attempt
     */
    public Attempt send(
            RegisteredServer server, int maxConnections, OutgoingRequest request, Consumer<AttemptResult> callback) {
        Send s = new Send(server, maxConnections, new Attempt(request, callback), new HashSet<>(), new AtomicBoolean());
        Optional<FleetMember> relay =
                monitor.reach().prefersOthers(server.name(), now()) ? selectRelay(s) : Optional.empty();
        if (relay.isPresent()) {
            sendThrough(relay.get(), s);
        } else {
            sendDirectly(s);
        }
        return s.attempt();
    }

    private Optional<FleetMember> selectRelay(Send s) {
        int limit = monitor.reach().isInDoubt() ? MAX_RELAYS : 1;
        if (s.asked().size() >= limit || collaborators.localVm().get().isEmpty()) {
            return Optional.empty();
        }
        return selection.select(
                collaborators.fleet().relays(now()),
                s.asked(),
                s.attempt().request().regions(),
                relayClient::inProgress);
    }

    private void sendDirectly(Send s) {
        s.tried().set(true);
        MonotonicTime start = now();
        // While the VM is cut off only connections that live on are of use.
        int max = monitor.reach().isCutOff() ? 0 : s.maxConnections();
        Attempt own = new Attempt(s.attempt().request(), result -> directEnded(s, result, now().since(start)));
        s.attempt().onCancel(() -> {
            unanswered.remove(s.attempt());
            own.cancel();
        });
        own.onSent(() -> {
            s.attempt().markSent();
            unanswered.put(
                    s.attempt(), new ServerReach.UnansweredRequest(s.server().name(), now()));
        });
        direct.send(s.server(), max, own);
    }

    private void directEnded(Send s, AttemptResult result, Duration took) {
        unanswered.remove(s.attempt());
        boolean cutOff = monitor.reach().isCutOff();
        switch (result) {
            case AttemptResult.Answer a -> {
                monitor.reach().recordAnswered(now());
                s.attempt().complete(a);
            }
            case AttemptResult.NotRun n
            when n.reason() == NotRunReason.UNREACHABLE || (cutOff && n.reason() == NotRunReason.NO_CONNECTION) ->
                relayAfterFailure(s, took)
                        .ifPresentOrElse(
                                r -> sendThrough(r, s),
                                () -> s.attempt()
                                        .complete(cutOff ? new AttemptResult.NotRun(NotRunReason.NO_PATH) : n));
            case AttemptResult.NotRun n -> s.attempt().complete(n);
            case AttemptResult.Unknown u ->
                s.attempt().complete(cutOff ? new AttemptResult.Unknown(u.cause(), AttemptResult.Loss.PATH) : u);
        }
    }

    /**
     * Selects a VM to ask after the local VM could not connect. After a connect timeout another server is the better choice,
     * unless the own paths may be at fault.
     */
    private Optional<FleetMember> relayAfterFailure(Send s, Duration took) {
        boolean worthIt = monitor.reach().isInDoubt() || took.compareTo(QUICK_FAILURE) < 0;
        return worthIt && !monitor.reach().hasFailedForOthers(s.server().name(), now())
                ? selectRelay(s)
                : Optional.empty();
    }

    private void sendThrough(FleetMember relay, Send s) {
        s.asked().add(relay.vm());
        s.attempt().setRelay(relay.vm());
        Attempt own = new Attempt(s.attempt().request(), result -> relayEnded(s, result));
        s.attempt().onCancel(own::cancel);
        own.onSent(s.attempt()::markSent);
        relayClient.send(relay, s.server(), message(relay, s), own, eventsOf(s));
    }

    private RelayRequest message(FleetMember relay, Send s) {
        OutgoingRequest out = s.attempt().request();
        FleetMember local = collaborators.localVm().get().orElseThrow();
        RelayRequest r = new RelayRequest();
        r.setVm(local.vm().value());
        r.setIncarnation(local.incarnation());
        r.setRecipient(relay.vm().value());
        r.setRecipientIncarnation(relay.incarnation());
        r.setServer(s.server().name().value());
        r.setServerIncarnation(s.server().incarnation());
        r.setRequestId(out.id());
        r.setMethod(out.method().name());
        r.setUri(out.uri());
        r.setHeaders(RelayFrames.encode(out.headers().get()));
        out.account().map(ClientAccountName::value).ifPresent(r::setAccount);
        Duration left = out.deadline().since(now());
        r.setRemainingMillis(Math.max(0, left.toMillis()));
        r.setBodyBytes(out.body().bytes().length);
        return r;
    }

    private RelayEvents eventsOf(Send s) {
        ServerEvents events = collaborators.events();
        Optional<String> id = Optional.of(s.attempt().request().id());
        return new RelayEvents() {
            @Override
            public void answered(int status, HttpHeaders headers) {
                collaborators
                        .servers()
                        .availability(status, headers)
                        .ifPresent(a -> events.availabilityStated(s.server(), id, a));
                if (collaborators.servers().isSigned(headers)) {
                    events.rateStated(s.server(), collaborators.servers().rateStatement(headers));
                }
            }

            @Override
            public void unavailable(AvailabilityStatement statement) {
                events.availabilityStated(s.server(), id, statement);
            }

            @Override
            public void crashed() {
                collaborators
                        .steering()
                        .recordServerCrash(
                                s.server(), List.of(s.attempt().request().fingerprint()));
            }
        };
    }

    private void relayEnded(Send s, AttemptResult result) {
        switch (result) {
            case AttemptResult.Answer a -> {
                monitor.reach().recordAnsweredOthers(s.server().name());
                s.attempt().complete(a);
            }
            case AttemptResult.NotRun n
            when n.reason() == NotRunReason.UNREACHABLE
                    || n.reason() == NotRunReason.NO_PATH
                    || n.reason() == NotRunReason.DECLINED -> {
                if (n.reason() == NotRunReason.UNREACHABLE) {
                    monitor.reach().recordFailedForOthers(s.server().name(), now());
                }
                Optional<FleetMember> next = selectRelay(s);
                if (next.isPresent()) {
                    sendThrough(next.get(), s);
                } else if (n.reason() != NotRunReason.UNREACHABLE && !s.tried().get()) {
                    sendDirectly(s);
                } else {
                    s.attempt().complete(n);
                }
            }
            case AttemptResult.NotRun n -> s.attempt().complete(n);
            case AttemptResult.Unknown u -> s.attempt().complete(u);
        }
    }

    /** Starts the checks of servers that are due. */
    public void startChecks() {
        Optional<ServerReach.UnansweredRequest> oldest =
                unanswered.values().stream().findFirst();
        monitor.startChecks(oldest, s -> direct.checkReach(s, reached -> {}));
    }

    /**
     * Tells a crash of a server from the loss of a path to it.
     *
     * <p>A server that refuses connections is taken to have crashed if another server, of the same data centre if there is
     * one, accepts them: a cut path may refuse connections too.
     *
     * @param server the server to which a connection was lost
     * @param callback called with true if the server has crashed
     */
    public void checkCrashed(RegisteredServer server, Consumer<Boolean> callback) {
        direct.checkCrashed(server, refused -> {
            List<RegisteredServer> others = monitor.reach().otherServers(server);
            if (refused && !others.isEmpty()) {
                ReachComparison.start(others, direct::checkReach, callback);
            } else {
                callback.accept(refused && !monitor.reach().isCutOff());
            }
        });
    }

    /**
     * Closes idle connections to servers that are no longer registered.
     *
     * @param present the registered servers
     */
    public void retainServers(Collection<RegisteredServer> present) {
        direct.retainServers(present);
        monitor.updateServers();
    }

    private MonotonicTime now() {
        return collaborators.clock().monotonic();
    }
}
