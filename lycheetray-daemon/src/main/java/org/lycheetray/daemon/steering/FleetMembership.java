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
import org.lycheetray.daemon.steering.internal.MessageUtil;
import org.lycheetray.platform.PlatformClient;
import org.lycheetray.platform.VmListing;
import org.lycheetray.protocol.generated.Noted;
import org.lycheetray.protocol.generated.Reply;
import org.lycheetray.protocol.generated.Request;
import reactor.core.publisher.Mono;

/** Runs the membership and the lead's lease on the control thread; all methods are for that thread. */
public final class FleetMembership {
    private static final Duration TICK = Duration.ofMillis(50);
    private static final Duration LIST_PERIOD = Duration.ofSeconds(2);
    private static final Duration PEER_TIMEOUT = Duration.ofSeconds(1);

    private final Incarnation self;
    private final PlatformClient platform;
    private final ControlThread control;
    private final PeerNetwork peers;
    private final ConfigView config;
    private final Clock clock;
    private Optional<Membership> membership = Optional.empty();
    private LeadLease lease;
    private ConfigVersion declared = ConfigVersion.NONE;
    private boolean leaving;

    private FleetMembership(
            Incarnation self,
            PlatformClient platform,
            ControlThread control,
            PeerNetwork peers,
            ConfigView config,
            Clock clock) {
        this.self = self;
        this.platform = platform;
        this.control = control;
        this.peers = peers;
        this.config = config;
        this.clock = clock;
    }

    /**
     * Starts; must be called before the peer network listens.
     *
     * @param self this process
     * @param platform lease rows and the list of VMs
     * @param control runs the decisions
     * @param peers reaches other VMs
     * @param config declared VMs
     * @param clock clock of the process
     * @return the running membership
     */
    public static FleetMembership create(
            Incarnation self,
            PlatformClient platform,
            ControlThread control,
            PeerNetwork peers,
            ConfigView config,
            Clock clock) {
        FleetMembership m = new FleetMembership(self, platform, control, peers, config, clock);
        m.start();
        return m;
    }

    private void start() {
        peers.handle(
                Request._Fields.HEARTBEAT,
                (from, r) -> noted(
                        m -> m.heartbeatReceived(MessageUtil.heartbeat(from, r.getHeartbeat()), clock.monotonic())));
        peers.handle(Request._Fields.VIEWS, (from, r) -> noted(m -> m.viewsReceived(MessageUtil.views(r.getViews()))));
        peers.handle(
                Request._Fields.VERSIONS,
                (from, r) -> noted(m -> m.versionsReceived(from.vm(), MessageUtil.versions(r.getVersions()))));
        var _ = control.every("membership", TICK, this::tick);
        var _ = control.every("vm-list", LIST_PERIOD, this::readList);
    }

    private Mono<Reply> noted(Function<Membership, List<MembershipEffect>> event) {
        return control.call(() -> {
            membership.ifPresent(m -> carryOut(event.apply(m)));
            return Reply.noted(new Noted());
        });
    }

    private void tick() {
        config.active().ifPresent(this::declare);
        MonotonicTime now = clock.monotonic();
        membership.ifPresent(m -> {
            carryOutLead(lease.tick(leaving ? Optional.empty() : m.leadCandidate(), now));
            m.setLeadTerm(lease.authority(now).canActAsLead() ? lease.term() : Heartbeat.NO_LEAD);
            carryOut(m.tick(now));
        });
    }

    private void declare(ActiveConfig c) {
        if (c.version().equals(declared)
                || (membership.isEmpty() && c.vm(self.vm()).isEmpty())) {
            return;
        }
        declared = c.version();
        VmDirectory roster = VmDirectory.of(c.manifest());
        if (membership.isPresent()) {
            membership.get().updateDeclaredVms(roster);
            return;
        }
        MonotonicTime now = clock.monotonic();
        membership = Optional.of(Membership.create(self, roster, MembershipSettings.STANDARD, now));
        lease = LeadLease.create(roster.dataCentre(self.vm()), self, LeadLeaseSettings.STANDARD, now);
    }

    private void carryOut(List<MembershipEffect> effects) {
        for (MembershipEffect e : effects) {
            switch (e) {
                case MembershipEffect.SendHeartbeat s ->
                    send(s.to(), Request.heartbeat(MessageUtil.toMessage(s.heartbeat())));
                case MembershipEffect.SendViews s -> send(s.to(), Request.views(MessageUtil.toMessage(s.views())));
                case MembershipEffect.SendVersions s ->
                    send(s.to(), Request.versions(MessageUtil.toVersions(s.versions())));
                // The peer network replaces a silent connection with the next message.
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

    private void carryOutLead(List<LeadEffect> effects) {
        for (LeadEffect e : effects) {
            switch (e) {
                case LeadEffect.ReadRow r -> {
                    var _ = platform.tables()
                            .read(r.key())
                            .publishOn(control.scheduler())
                            .subscribe(
                                    row -> carryOutLead(lease.rowRead(row, clock.monotonic())),
                                    x -> carryOutLead(lease.readFailed(clock.monotonic())));
                }
                case LeadEffect.WriteRow w -> {
                    var _ = platform.tables()
                            .write(List.of(w.change()))
                            .publishOn(control.scheduler())
                            .subscribe(this::written, x -> written(new WriteResult.Unknown(x.toString())));
                }
            }
        }
    }

    private void written(WriteResult result) {
        carryOutLead(lease.written(result, clock.monotonic()));
    }

    /** Only the lead reads the list, so that its cost does not grow with the number of VMs. */
    private void readList() {
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

    /** Announces that this VM is about to stop, and gives the lead up; callable from any thread. */
    public void leave() {
        control.execute("leave", () -> {
            leaving = true;
            membership.ifPresent(m -> {
                m.startLeaving();
                carryOutLead(lease.release(clock.monotonic()));
            });
        });
    }

    /**
     * Gives the membership.
     *
     * @return it, empty before a configuration declared this VM
     */
    public Optional<Membership> membership() {
        return membership;
    }

    /**
     * Tells how far this VM may act as lead at this moment.
     *
     * @return the authority
     */
    public LeadAuthority authority() {
        return lease == null ? LeadAuthority.NONE : lease.authority(clock.monotonic());
    }

    /**
     * Fills in the status section.
     *
     * @param node receives members and lead
     */
    public void describe(ObjectNode node) {
        node.put("lead", authority().name());
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
