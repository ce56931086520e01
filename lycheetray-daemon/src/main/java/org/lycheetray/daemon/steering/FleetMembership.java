package org.lycheetray.daemon.steering;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.Function;
import java.util.stream.Collectors;
import org.lycheetray.core.membership.Heartbeat;
import org.lycheetray.core.membership.LeadAuthority;
import org.lycheetray.core.membership.LeadEffect;
import org.lycheetray.core.membership.LeadLease;
import org.lycheetray.core.membership.LeadLeaseSettings;
import org.lycheetray.core.membership.Membership;
import org.lycheetray.core.membership.MembershipEffect;
import org.lycheetray.core.membership.MembershipSettings;
import org.lycheetray.core.membership.VmDirectory;
import org.lycheetray.core.model.ConfigVersion;
import org.lycheetray.core.model.DataCentreName;
import org.lycheetray.core.model.Incarnation;
import org.lycheetray.core.model.VmName;
import org.lycheetray.core.table.WriteResult;
import org.lycheetray.core.time.Clock;
import org.lycheetray.core.time.MonotonicTime;
import org.lycheetray.daemon.config.ActiveConfig;
import org.lycheetray.daemon.config.ConfigView;
import org.lycheetray.daemon.control.ControlThread;
import org.lycheetray.daemon.log.LogEvent;
import org.lycheetray.daemon.peer.PeerNetwork;
import org.lycheetray.daemon.steering.internal.SteeringMessageCodec;
import org.lycheetray.platform.PlatformClient;
import org.lycheetray.platform.VmListing;
import org.lycheetray.protocol.generated.Noted;
import org.lycheetray.protocol.generated.Reply;
import org.lycheetray.protocol.generated.Request;
import reactor.core.publisher.Mono;

/**
 * Runs the membership protocol and the lease of the data centre's lead.
 *
 * <p>All state lives on the control thread; unless stated otherwise, methods must be called on it.
 */
public final class FleetMembership {
    private static final Duration TICK = Duration.ofMillis(50);
    private static final Duration VM_LIST_PERIOD = Duration.ofSeconds(2);
    private static final Duration PEER_TIMEOUT = Duration.ofSeconds(1);

    private final Incarnation localIncarnation;
    private final PlatformClient platform;
    private final ControlThread control;
    private final PeerNetwork peers;
    private final ConfigView config;
    private final Clock clock;
    private Optional<Membership> membership = Optional.empty();
    private LeadLease lease;
    private ConfigVersion declaredVersion = ConfigVersion.NONE;
    private boolean leaving;

    private FleetMembership(
            Incarnation localIncarnation,
            PlatformClient platform,
            ControlThread control,
            PeerNetwork peers,
            ConfigView config,
            Clock clock) {
        this.localIncarnation = localIncarnation;
        this.platform = platform;
        this.control = control;
        this.peers = peers;
        this.config = config;
        this.clock = clock;
    }

    /**
     * Registers the message handlers and starts the periodic tasks; must be called before the peer network listens.
     *
     * @param localIncarnation incarnation of this process
     * @param platform stores the lease rows and lists the VMs
     * @param control thread that owns the membership state
     * @param peers exchanges messages with other VMs
     * @param config provides the declared VMs
     * @param clock clock of the process
     * @return the running membership
     */
    public static FleetMembership create(
            Incarnation localIncarnation,
            PlatformClient platform,
            ControlThread control,
            PeerNetwork peers,
            ConfigView config,
            Clock clock) {
        FleetMembership m = new FleetMembership(localIncarnation, platform, control, peers, config, clock);
        m.start();
        return m;
    }

    private void start() {
        peers.registerHandler(
                Request._Fields.HEARTBEAT,
                (from, r) -> handleUpdate(m -> m.heartbeatReceived(
                        SteeringMessageCodec.toHeartbeat(from, r.getHeartbeat()), clock.monotonic())));
        peers.registerHandler(
                Request._Fields.VIEWS,
                (from, r) -> handleUpdate(m -> m.viewsReceived(SteeringMessageCodec.toViews(r.getViews()))));
        peers.registerHandler(
                Request._Fields.VERSIONS,
                (from, r) -> handleUpdate(
                        m -> m.versionsReceived(from.vm(), SteeringMessageCodec.toViewVersions(r.getVersions()))));
        var _ = control.schedulePeriodically("membership", TICK, this::tick);
        var _ = control.schedulePeriodically("vm-list", VM_LIST_PERIOD, this::readVmList);
    }

    private Mono<Reply> handleUpdate(Function<Membership, List<MembershipEffect>> event) {
        return control.call(() -> {
            membership.ifPresent(m -> perform(event.apply(m)));
            return Reply.noted(new Noted());
        });
    }

    private void tick() {
        config.active().ifPresent(this::applyConfig);
        MonotonicTime now = clock.monotonic();
        membership.ifPresent(m -> {
            performLead(lease.tick(leaving ? Optional.empty() : m.leadCandidate(), now));
            m.setLeadTerm(lease.authority(now).canActAsLead() ? lease.term() : Heartbeat.NO_LEAD);
            perform(m.tick(now));
        });
    }

    private void applyConfig(ActiveConfig c) {
        if (c.version().equals(declaredVersion)
                || (membership.isEmpty() && c.vm(localIncarnation.vm()).isEmpty())) {
            return;
        }
        declaredVersion = c.version();
        VmDirectory declaredVms = VmDirectory.of(c.manifest());
        if (membership.isPresent()) {
            membership.get().updateDeclaredVms(declaredVms);
            return;
        }
        MonotonicTime now = clock.monotonic();
        membership = Optional.of(Membership.create(localIncarnation, declaredVms, MembershipSettings.STANDARD, now));
        lease = LeadLease.create(
                declaredVms.dataCentre(localIncarnation.vm()), localIncarnation, LeadLeaseSettings.STANDARD, now);
    }

    private void perform(List<MembershipEffect> effects) {
        for (MembershipEffect e : effects) {
            switch (e) {
                case MembershipEffect.SendHeartbeat s ->
                    send(s.to(), Request.heartbeat(SteeringMessageCodec.toMessage(s.heartbeat())));
                case MembershipEffect.SendViews s ->
                    send(s.to(), Request.views(SteeringMessageCodec.toMessage(s.views())));
                case MembershipEffect.SendVersions s ->
                    send(s.to(), Request.versions(SteeringMessageCodec.toVersionsMessage(s.versions())));
                // The peer network reconnects when the next message is sent, so there is nothing to do.
                case MembershipEffect.Reconnect _ -> {}
                case MembershipEffect.StateChanged s ->
                    LogEvent.of("member")
                            .with("vm", s.member().incarnation())
                            .with("state", s.member().state())
                            .info();
                case MembershipEffect.ReachabilityChanged r ->
                    LogEvent.of("reach")
                            .with("data-centre", r.dataCentre())
                            .with("reachable", r.reachable())
                            .info();
            }
        }
    }

    private void send(VmName to, Request message) {
        config.active().flatMap(c -> c.vm(to)).ifPresent(vm -> {
            var _ = peers.call(vm.peerEndpoint(), message, PEER_TIMEOUT).subscribe(r -> {}, e -> {});
        });
    }

    private void performLead(List<LeadEffect> effects) {
        for (LeadEffect e : effects) {
            switch (e) {
                case LeadEffect.ReadRow r -> {
                    var _ = platform.tables()
                            .read(r.key())
                            .publishOn(control.scheduler())
                            .subscribe(
                                    row -> performLead(lease.rowRead(row, clock.monotonic())),
                                    x -> performLead(lease.readFailed(clock.monotonic())));
                }
                case LeadEffect.WriteRow w -> {
                    var _ = platform.tables()
                            .write(List.of(w.change()))
                            .publishOn(control.scheduler())
                            .subscribe(
                                    this::handleWriteResult,
                                    x -> handleWriteResult(new WriteResult.Unknown(x.toString())));
                }
            }
        }
    }

    private void handleWriteResult(WriteResult result) {
        performLead(lease.written(result, clock.monotonic()));
    }

    /** Reads the platform's list of VMs. Only the lead does so, to keep the cost independent of the number of VMs. */
    private void readVmList() {
        if (membership.isEmpty() || !lease.authority(clock.monotonic()).canActAsLead()) {
            return;
        }
        var _ = platform.vms()
                .current()
                .publishOn(control.scheduler())
                .subscribe(l -> membership.get().updateVmList(names(l, false), names(l, true)), e -> {});
    }

    private static Set<VmName> names(VmListing listing, boolean leavingOnly) {
        return listing.vms().stream()
                .filter(v -> !leavingOnly || v.state() == VmListing.State.LEAVING)
                .map(VmListing.ListedVm::name)
                .collect(Collectors.toSet());
    }

    /** Announces that this VM is about to stop and releases the lead's lease; may be called from any thread. */
    public void announceLeaving() {
        control.execute("leave", () -> {
            leaving = true;
            membership.ifPresent(m -> {
                m.startLeaving();
                performLead(lease.release(clock.monotonic()));
            });
        });
    }

    /**
     * Returns the membership.
     *
     * @return the membership, or empty until a configuration declares this VM
     */
    public Optional<Membership> membership() {
        return membership;
    }

    /**
     * Returns the authority with which this VM may currently act as lead.
     *
     * @return the authority, {@link LeadAuthority#NONE} until a configuration declares this VM
     */
    public LeadAuthority leadAuthority() {
        return lease == null ? LeadAuthority.NONE : lease.authority(clock.monotonic());
    }

    /**
     * Writes the members and the lead to the status page.
     *
     * @param node receives the fields
     */
    public void writeStatus(ObjectNode node) {
        node.put("lead", leadAuthority().name());
        node.put("leadTerm", lease == null ? 0 : lease.term());
        membership.ifPresent(m -> {
            ObjectNode all = node.putObject("dataCentres");
            for (DataCentreName d :
                    VmDirectory.of(config.active().orElseThrow().manifest()).dataCentres()) {
                ObjectNode one = all.putObject(d.value());
                one.put("reachable", m.isReachable(d));
                m.members(d)
                        .forEach(x ->
                                one.put(x.incarnation().toString(), x.state().name()));
            }
        });
    }
}
