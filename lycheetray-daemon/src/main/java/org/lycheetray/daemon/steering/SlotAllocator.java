package org.lycheetray.daemon.steering;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.stream.Collectors;
import org.lycheetray.core.membership.MemberState;
import org.lycheetray.core.membership.Membership;
import org.lycheetray.core.model.BackendServer;
import org.lycheetray.core.model.BackendServerName;
import org.lycheetray.core.model.DataCentre;
import org.lycheetray.core.model.DataCentreName;
import org.lycheetray.core.model.Incarnation;
import org.lycheetray.core.model.Link;
import org.lycheetray.core.model.RegionName;
import org.lycheetray.core.model.Service;
import org.lycheetray.core.model.ServiceName;
import org.lycheetray.core.model.Vm;
import org.lycheetray.core.regions.ShiftLimiter;
import org.lycheetray.core.slots.HeldGrants;
import org.lycheetray.core.slots.OwnerGeneration;
import org.lycheetray.core.slots.SlotDecision;
import org.lycheetray.core.slots.SlotLoad;
import org.lycheetray.core.slots.SlotOwnerSelection;
import org.lycheetray.core.slots.SlotRefusal;
import org.lycheetray.core.slots.SlotRequest;
import org.lycheetray.core.slots.SlotRequestId;
import org.lycheetray.core.slots.SlotRouter;
import org.lycheetray.core.time.Clock;
import org.lycheetray.daemon.config.ActiveConfig;
import org.lycheetray.daemon.config.ConfigView;
import org.lycheetray.daemon.control.ControlThread;
import org.lycheetray.daemon.peer.PeerNetwork;
import org.lycheetray.daemon.request.RequestContext;
import org.lycheetray.daemon.request.SlotGate;
import org.lycheetray.daemon.running.ServerHealth;
import org.lycheetray.daemon.steering.internal.SteeringMessageCodec;
import org.lycheetray.protocol.generated.Holdings;
import org.lycheetray.protocol.generated.HoldingsQuestion;
import org.lycheetray.protocol.generated.LoadQuestion;
import org.lycheetray.protocol.generated.Noted;
import org.lycheetray.protocol.generated.Reply;
import org.lycheetray.protocol.generated.Request;
import org.lycheetray.protocol.generated.SlotAnswer;
import org.lycheetray.protocol.generated.SlotRelease;
import reactor.core.publisher.Mono;

/**
 * Acquires slots of backend servers from the VMs that own them.
 *
 * <p>Each service has one owner VM per data centre, which grants the slots of the backend servers there. This class
 * also answers peers on behalf of the owners on this VM. All state lives on the control thread; {@link #acquire} may
 * be called from any thread.
 */
public final class SlotAllocator implements SlotGate {
    private static final Duration REFRESH_PERIOD = Duration.ofMillis(100);
    private static final Duration LOAD_PERIOD = Duration.ofSeconds(1);
    private static final Duration PEER_TIMEOUT = Duration.ofSeconds(1);

    private final Incarnation localIncarnation;
    private final FleetMembership fleet;
    private final ControlThread control;
    private final PeerNetwork peers;
    private final ConfigView config;
    private final Clock clock;
    private final LocalSlotOwners owners;
    private final Map<ServiceName, RoutedService> services = new HashMap<>();
    private final Map<OwnerKey, HeldGrants> heldGrants = new HashMap<>();
    private long nextRequestNumber;

    private record OwnerKey(ServiceName service, DataCentreName dataCentre) {}

    private record RoutedService(SlotRouter router, ShiftLimiter limiter) {}

    private SlotAllocator(
            Incarnation localIncarnation,
            FleetMembership fleet,
            ControlThread control,
            PeerNetwork peers,
            ConfigView config,
            ServerHealth health,
            Clock clock) {
        this.localIncarnation = localIncarnation;
        this.fleet = fleet;
        this.control = control;
        this.peers = peers;
        this.config = config;
        this.clock = clock;
        this.owners = new LocalSlotOwners(clock, health);
    }

    /**
     * Registers the message handlers and starts the periodic tasks; must be called before the peer network listens.
     *
     * @param localIncarnation incarnation of this process
     * @param fleet provides the live VMs
     * @param control thread that owns the slot state
     * @param peers exchanges messages with other owners
     * @param config provides the services and backend servers
     * @param health provides the usable backend servers
     * @param clock clock of the process
     * @return the running instance
     */
    public static SlotAllocator create(
            Incarnation localIncarnation,
            FleetMembership fleet,
            ControlThread control,
            PeerNetwork peers,
            ConfigView config,
            ServerHealth health,
            Clock clock) {
        SlotAllocator s = new SlotAllocator(localIncarnation, fleet, control, peers, config, health, clock);
        s.start();
        return s;
    }

    private void start() {
        peers.registerHandler(
                Request._Fields.SLOT_QUESTION,
                (from, r) -> requestLocalSlot(
                                new ServiceName(r.getSlotQuestion().getServiceName()),
                                SteeringMessageCodec.toSlotRequest(from, r.getSlotQuestion()))
                        .map(e -> Reply.slotAnswer(SteeringMessageCodec.toMessage(e))));
        peers.registerHandler(
                Request._Fields.SLOT_RELEASE,
                (from, r) -> control.call(() -> {
                    SlotRelease m = r.getSlotRelease();
                    owners.release(new ServiceName(m.getServiceName()), new SlotRequestId(from, m.getNumber()));
                    return Reply.noted(new Noted());
                }));
        peers.registerHandler(
                Request._Fields.LOAD_QUESTION,
                (from, r) -> control.call(() -> Reply.slotAnswer(SteeringMessageCodec.toLoadMessage(
                        owners.load(new ServiceName(r.getLoadQuestion().getServiceName()))))));
        peers.registerHandler(
                Request._Fields.HOLDINGS_QUESTION,
                (from, r) -> control.call(() -> reportHoldings(from, r.getHoldingsQuestion())));
        var _ = control.schedulePeriodically("slots", REFRESH_PERIOD, this::refresh);
        var _ = control.schedulePeriodically("slot-loads", LOAD_PERIOD, this::refreshLoads);
    }

    private Mono<SlotDecision> requestLocalSlot(ServiceName service, SlotRequest slotRequest) {
        return owners.requestSlot(service, slotRequest).subscribeOn(control.scheduler());
    }

    private Reply reportHoldings(Incarnation owner, HoldingsQuestion q) {
        DataCentreName from = config.active()
                .flatMap(c -> c.vm(owner.vm()))
                .map(Vm::dataCentre)
                .orElseThrow(() -> new IllegalStateException("undeclared VM " + owner.vm()));
        OwnerGeneration generation = new OwnerGeneration(q.getGeneration(), owner);
        HeldGrants grants = heldGrants(new ServiceName(q.getServiceName()), from);
        return grants.report(generation, clock.monotonic())
                .map(h -> Reply.holdings(SteeringMessageCodec.toHoldingsMessage(h)))
                .orElseGet(() -> {
                    Holdings fenced = SteeringMessageCodec.toHoldingsMessage(List.of());
                    fenced.setLaterGeneration(grants.latestReportedGeneration());
                    return Reply.holdings(fenced);
                });
    }

    private HeldGrants heldGrants(ServiceName service, DataCentreName dataCentre) {
        return heldGrants.computeIfAbsent(new OwnerKey(service, dataCentre), k -> new HeldGrants());
    }

    private void refresh() {
        fleet.membership()
                .ifPresent(m -> config.active().ifPresent(c -> {
                    for (LocalSlotOwners.PendingReport pending : owners.refresh(c, m)) {
                        requestHoldings(pending, c, m);
                    }
                    m.members(m.localDataCentre()).stream()
                            .filter(x -> x.state() == MemberState.DEAD)
                            .forEach(x -> owners.releaseDeadHolder(x.incarnation()));
                }));
    }

    private void requestHoldings(LocalSlotOwners.PendingReport pending, ActiveConfig c, Membership m) {
        if (pending.holder().equals(localIncarnation.vm())) {
            HeldGrants localGrants = heldGrants(pending.service(), m.localDataCentre());
            localGrants
                    .report(pending.generation(), clock.monotonic())
                    .ifPresentOrElse(
                            h -> owners.applyReport(pending, h),
                            () -> owners.handleLaterGeneration(pending, localGrants.latestReportedGeneration()));
            return;
        }
        HoldingsQuestion q = new HoldingsQuestion(
                pending.service().value(), pending.generation().number());
        Optional<Vm> vm = c.vm(pending.holder());
        vm.ifPresent(v -> {
            var _ = peers.call(v.peerEndpoint(), Request.holdingsQuestion(q), PEER_TIMEOUT)
                    .publishOn(control.scheduler())
                    .subscribe(r -> applyHoldings(pending, v, r.getHoldings()), e -> {});
        });
    }

    private void applyHoldings(LocalSlotOwners.PendingReport pending, Vm holder, Holdings h) {
        if (h.isSetLaterGeneration()) {
            owners.handleLaterGeneration(pending, h.getLaterGeneration());
            return;
        }
        peers.connectedIncarnation(holder.peerEndpoint())
                .ifPresent(i -> owners.applyReport(pending, SteeringMessageCodec.toHeldGrants(i, h)));
    }

    private void refreshLoads() {
        fleet.membership()
                .ifPresent(m -> config.active().ifPresent(c -> {
                    for (Service s : c.manifest().services()) {
                        RoutedService routed = routedService(s, c, m);
                        updateShiftTarget(s, routed, c, m);
                        for (DataCentreName d : dataCentres(s.name(), c)) {
                            refreshLoad(s.name(), d, routed, c, m);
                        }
                    }
                }));
    }

    private void updateShiftTarget(Service s, RoutedService routed, ActiveConfig c, Membership m) {
        RegionConditions conditions = new RegionConditions(c, m, clock.instant());
        routed.limiter()
                .updateTarget(conditions.shares(
                        s, c.region(m.localDataCentre()), d -> routed.router().load(d)));
    }

    private void refreshLoad(ServiceName s, DataCentreName d, RoutedService routed, ActiveConfig c, Membership m) {
        Optional<Incarnation> owner = SlotOwnerSelection.select(s, d, m.members(d));
        if (owner.isEmpty() || owner.get().equals(localIncarnation)) {
            routed.router().updateLoad(d, owner.isEmpty() ? SlotLoad.NONE : owners.load(s));
            return;
        }
        c.vm(owner.get().vm()).ifPresent(vm -> {
            var _ = peers.call(vm.peerEndpoint(), Request.loadQuestion(new LoadQuestion(s.value())), PEER_TIMEOUT)
                    .publishOn(control.scheduler())
                    .subscribe(
                            r -> routed.router().updateLoad(d, SteeringMessageCodec.toLoad(r.getSlotAnswer())),
                            e -> routed.router().updateLoad(d, SlotLoad.NONE));
        });
    }

    private RoutedService routedService(Service s, ActiveConfig c, Membership m) {
        RoutedService routed = services.computeIfAbsent(s.name(), n -> createRoutedService(s, c, m));
        routed.limiter().updateCap(s.shiftCap());
        routed.router().updateUsableDataCentres(d -> m.isReachable(d));
        return routed;
    }

    private static RoutedService createRoutedService(Service s, ActiveConfig c, Membership m) {
        Map<DataCentreName, RegionName> regions = new TreeMap<>();
        regions.put(m.localDataCentre(), c.region(m.localDataCentre()));
        dataCentres(s.name(), c).forEach(d -> regions.put(d, c.region(d)));
        Map<RegionName, Duration> delays = new TreeMap<>();
        for (Link l : c.manifest().links()) {
            if (l.from().equals(c.region(m.localDataCentre()))) {
                delays.put(l.to(), l.oneWayDelay());
            }
        }
        ShiftLimiter limiter = ShiftLimiter.create(c.region(m.localDataCentre()), s.shiftCap());
        return new RoutedService(SlotRouter.create(m.localDataCentre(), regions, delays, limiter), limiter);
    }

    private static Set<DataCentreName> dataCentres(ServiceName service, ActiveConfig c) {
        return c.manifest().backendServers().stream()
                .filter(b -> b.service().equals(service))
                .map(BackendServer::dataCentre)
                .filter(d -> c.manifest().dataCentres().stream()
                        .map(DataCentre::name)
                        .anyMatch(d::equals))
                .collect(Collectors.toSet());
    }

    @Override
    public Mono<Decision> acquire(RequestContext request, Set<BackendServerName> tried) {
        return Mono.<Decision>create(sink -> control.execute("acquire-slot", () -> {
            Optional<Membership> m = fleet.membership();
            if (m.isEmpty()) {
                sink.success(new Decision.Refused("this VM is not declared", Optional.of(PEER_TIMEOUT)));
                return;
            }
            Service s = request.config().service(request.route().service());
            RoutedService routed = routedService(s, request.config(), m.get());
            SlotAcquisition a =
                    new SlotAcquisition(this, request, tried, routed.router().createSearch(clock.instant()), sink);
            sink.onCancel(() -> control.execute("cancel-slot", a::cancel));
            a.start();
        }));
    }

    SlotRequestId nextRequestId() {
        return new SlotRequestId(localIncarnation, nextRequestNumber++);
    }

    Clock clock() {
        return clock;
    }

    ControlThread control() {
        return control;
    }

    /**
     * Requests a slot from the owner in a data centre.
     *
     * <p>A failed call counts as refused; the slot is released in case the owner granted it and its answer was lost.
     */
    Mono<SlotDecision> requestSlot(ServiceName service, DataCentreName d, SlotRequest slotRequest) {
        Optional<Incarnation> owner =
                fleet.membership().flatMap(m -> SlotOwnerSelection.select(service, d, m.members(d)));
        Optional<Vm> vm = owner.flatMap(o -> config.active().flatMap(c -> c.vm(o.vm())));
        SlotDecision refused = new SlotDecision.Refused(slotRequest.id(), SlotRefusal.NOT_OWNER, SlotLoad.NONE);
        if (vm.isEmpty()) {
            return Mono.just(refused);
        }
        if (owner.get().equals(localIncarnation)) {
            return owners.requestSlot(service, slotRequest);
        }
        Duration timeout = slotRequest.timeLeft().plus(PEER_TIMEOUT);
        return peers.call(
                        vm.get().peerEndpoint(),
                        Request.slotQuestion(SteeringMessageCodec.toMessage(service, slotRequest)),
                        timeout)
                .map(r -> toDecision(slotRequest.id(), owner.get(), r.getSlotAnswer()))
                .onErrorResume(e -> {
                    release(service, d, slotRequest.id());
                    return Mono.just(refused);
                })
                .publishOn(control.scheduler());
    }

    private SlotDecision toDecision(SlotRequestId id, Incarnation owner, SlotAnswer a) {
        SlotLoad load = SteeringMessageCodec.toLoad(a);
        Optional<BackendServer> server = config.active().stream()
                .flatMap(c -> c.manifest().backendServers().stream())
                .filter(b -> b.name().value().equals(a.getServer()))
                .findFirst();
        if (server.isEmpty()) {
            SlotRefusal reason = a.isSetRefusal() ? SlotRefusal.valueOf(a.getRefusal()) : SlotRefusal.NO_BACKEND_SERVER;
            return new SlotDecision.Refused(id, reason, load);
        }
        OwnerGeneration g = new OwnerGeneration(a.getGeneration(), owner);
        return new SlotDecision.Granted(id, g, server.get(), Duration.ofMillis(a.getValidityMillis()), load);
    }

    boolean acceptGrant(
            ServiceName service,
            DataCentreName d,
            SlotDecision.Granted g,
            SlotRequest slotRequest,
            Duration sinceRequest) {
        var now = clock.monotonic();
        return heldGrants(service, d).accept(g, now.plus(sinceRequest.negated()), now)
                && !slotRequest.timeLeft().isNegative();
    }

    void release(ServiceName service, DataCentreName d, SlotRequestId id) {
        control.execute("release-slot", () -> {
            heldGrants(service, d).remove(id);
            Optional<Incarnation> owner =
                    fleet.membership().flatMap(m -> SlotOwnerSelection.select(service, d, m.members(d)));
            if (owner.filter(localIncarnation::equals).isPresent()) {
                owners.release(service, id);
                return;
            }
            owner.flatMap(o -> config.active().flatMap(c -> c.vm(o.vm()))).ifPresent(vm -> {
                Request message = Request.slotRelease(new SlotRelease(id.number(), service.value()));
                var _ = peers.call(vm.peerEndpoint(), message, PEER_TIMEOUT)
                        .retry(1)
                        .subscribe(r -> {}, e -> {});
            });
        });
    }

    /**
     * Writes the owned slots and the traffic shifts to the status page; must be called on the control thread.
     *
     * @param node receives the fields
     */
    public void writeStatus(ObjectNode node) {
        ObjectNode owned = node.putObject("owned");
        owners.byService()
                .forEach((s, o) -> owned.putObject(s.value())
                        .put("slots", o.load().slots())
                        .put("inFlight", o.load().inFlight())
                        .put("waiting", o.load().waiting())
                        .put("generation", o.generation().number())
                        .put("learning", o.isAwaitingReports()));
        ObjectNode shifts = node.putObject("shifts");
        services.forEach((s, r) -> {
            var status = r.limiter().status();
            ObjectNode one = shifts.putObject(s.value());
            one.put("capPermille", status.capPermille()).put("usedPermille", status.usedPermille());
            ObjectNode current = one.putObject("current");
            status.current().forEach((region, share) -> current.put(region.value(), share));
        });
    }
}
