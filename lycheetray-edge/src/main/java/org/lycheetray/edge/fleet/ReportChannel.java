package org.lycheetray.edge.fleet;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.DatagramPacket;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.function.BooleanSupplier;
import org.lycheetray.core.allowance.ServerLimits;
import org.lycheetray.core.fleet.FleetMember;
import org.lycheetray.core.fleet.FleetView;
import org.lycheetray.core.fleet.ReportRecipients;
import org.lycheetray.core.model.BackendServerName;
import org.lycheetray.core.model.ClientAccountName;
import org.lycheetray.core.model.DataCentreName;
import org.lycheetray.core.model.Endpoint;
import org.lycheetray.core.model.VmName;
import org.lycheetray.core.time.Clock;
import org.lycheetray.core.time.MonotonicTime;
import org.lycheetray.daemon.log.LogEvent;
import org.lycheetray.edge.Transport;
import org.lycheetray.edge.exchange.TrafficSteering;
import org.lycheetray.edge.store.StoreFollower;
import org.lycheetray.edge.store.Topic;
import org.lycheetray.protocol.MessageCodec;
import org.lycheetray.protocol.generated.AccountTotal;
import org.lycheetray.protocol.generated.ServerLimit;
import org.lycheetray.protocol.generated.VmReport;

/**
 * Exchanges reports of admitted requests with the other VMs over UDP.
 *
 * <p>UDP has no connection that could stall, and the totals are cumulative, so the next report makes up for a lost one.
 * Not thread-safe: use only on the event loop.
 */
public final class ReportChannel implements AutoCloseable {
    /** Every how many reports a large fleet sends a complete one, which restores lost totals within a few seconds. */
    private static final int FULL_REPORT_INTERVAL = 8;

    private final FleetMember localVm;
    private final FleetView view;
    private final TrafficSteering steering;
    private final StoreFollower follower;
    private final BooleanSupplier serving;
    private final Clock clock;
    private final Channel socket;
    private final Map<String, VmReport> reportsToRelay = new LinkedHashMap<>();
    private boolean fullReportDue;
    private long sequence;

    /**
     * Opens the report socket of the local VM.
     *
     * @param transport provides the event loop and the socket
     * @param localVm the local VM with its current incarnation
     * @param view receives the state of other VMs
     * @param steering receives the admitted totals of other VMs
     * @param follower receives the store versions that other VMs have reached
     * @param serving returns true if look-ups may return the local VM
     * @param clock source of monotonic time
     */
    public ReportChannel(
            Transport transport,
            FleetMember localVm,
            FleetView view,
            TrafficSteering steering,
            StoreFollower follower,
            BooleanSupplier serving,
            Clock clock) {
        this.localVm = localVm;
        this.view = view;
        this.steering = steering;
        this.follower = follower;
        this.serving = serving;
        this.clock = clock;
        this.socket = transport
                .datagramBootstrap()
                .handler(new SimpleChannelInboundHandler<DatagramPacket>() {
                    @Override
                    protected void channelRead0(ChannelHandlerContext ctx, DatagramPacket p) {
                        handleDatagram(p);
                    }

                    @Override
                    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
                        LogEvent.of("report-failed").with("cause", cause).debug();
                    }
                })
                .bind(new InetSocketAddress(
                        localVm.reportEndpoint().host(),
                        localVm.reportEndpoint().port()))
                .addListener(f -> logBindFailure(f.cause()))
                .channel();
    }

    private static void logBindFailure(Throwable cause) {
        if (cause != null) {
            LogEvent.of("reports-not-received")
                    .with("step", "bind")
                    .with("cause", cause)
                    .error();
        }
    }

    /** Sends a report to the other VMs, and relays reports from other regions within the local region. */
    public void send() {
        ReportRecipients recipients = view.recipients(localVm, ++sequence, clock.monotonic());
        boolean full = !recipients.usesRelays() || fullReportDue || sequence % FULL_REPORT_INTERVAL == 0;
        boolean allLimits = fullReportDue;
        if (fullReportDue) {
            steering.suspects().requestReports();
        }
        fullReportDue = false;
        VmReport local = createReport(full, allLimits);
        steering.quota().recordReported();
        write(recipients.relays(), local);
        if (recipients.usesRelays()) {
            local.setRelayed(List.copyOf(reportsToRelay.values()));
        }
        reportsToRelay.clear();
        write(recipients.direct(), local);
        socket.flush();
    }

    private void write(List<FleetMember> members, VmReport r) {
        if (members.isEmpty()) {
            return;
        }
        ByteBuf bytes = Unpooled.wrappedBuffer(MessageCodec.encode(r));
        for (FleetMember m : members) {
            InetSocketAddress to = new InetSocketAddress(
                    m.reportEndpoint().host(), m.reportEndpoint().port());
            var _ = socket.write(new DatagramPacket(bytes.retainedDuplicate(), to));
        }
        bytes.release();
    }

    private VmReport createReport(boolean full, boolean allLimits) {
        List<AccountTotal> totals = new ArrayList<>();
        steering.quota().admittedTotals(full).forEach((name, n) -> totals.add(new AccountTotal(name.value(), n)));
        VmReport r = new VmReport();
        r.setVm(localVm.vm().value());
        r.setIncarnation(localVm.incarnation());
        r.setSequence(sequence);
        r.setWhole(full);
        if (full) {
            r.setDataCentre(localVm.dataCentre().value());
            r.setCallers(localVm.callerEndpoint().toString());
            r.setReports(localVm.reportEndpoint().toString());
        }
        r.setServing(serving.getAsBoolean());
        r.setAdmitted(totals);
        r.setConfigVersion(steering.version().number());
        r.setServersVersion(follower.lastServerChange());
        follower.era().ifPresent(r::setStoreEra);
        r.setReachesServers(view.localReaches());
        List<ServerLimit> limits = steering.placement().limits().takeReports(allLimits, clock.monotonic()).stream()
                .map(ReportChannel::encode)
                .toList();
        if (!limits.isEmpty()) {
            r.setLimits(limits);
        }
        List<org.lycheetray.protocol.generated.SuspectRequest> suspects =
                steering.suspects().takeReports(clock.monotonic()).stream()
                        .map(SuspectFormat::encode)
                        .toList();
        if (!suspects.isEmpty()) {
            r.setSuspects(suspects);
        }
        return r;
    }

    private static ServerLimit encode(ServerLimits.Report l) {
        ServerLimit limit =
                new ServerLimit(l.server().value(), l.incarnation(), l.age().toMillis());
        l.perSecond().ifPresent(limit::setPerSecond);
        return limit;
    }

    private static ServerLimits.Report decode(ServerLimit l) {
        return new ServerLimits.Report(
                new BackendServerName(l.getServer()),
                l.getIncarnation(),
                l.isSetPerSecond() ? OptionalDouble.of(l.getPerSecond()) : OptionalDouble.empty(),
                Duration.ofMillis(Math.max(0, l.getAgeMillis())));
    }

    private void handleDatagram(DatagramPacket p) {
        byte[] bytes = new byte[p.content().readableBytes()];
        p.content().readBytes(bytes);
        MessageCodec.decodeStandalone(bytes, new VmReport())
                .peek(this::applyWithRelayed)
                .peekLeft(e -> LogEvent.of("report-unreadable")
                        .with("from", p.sender())
                        .with("cause", e)
                        .debug());
    }

    private void applyWithRelayed(VmReport r) {
        int sizeBefore = view.size();
        if (r.isSetRelayed()) {
            r.getRelayed().forEach(this::apply);
            r.unsetRelayed();
        }
        if (apply(r) && !view.receivesReportsDirectly(localVm, new VmName(r.getVm()))) {
            reportsToRelay.put(r.getVm(), r);
        }
        if (view.size() != sizeBefore) {
            updateMembers();
        }
    }

    /** Applies one VM's report; returns true if it was newer than the known state. */
    private boolean apply(VmReport r) {
        MonotonicTime now = clock.monotonic();
        try {
            VmName vm = new VmName(r.getVm());
            if (vm.equals(localVm.vm())) {
                return false;
            }
            Optional<FleetMember> known = view.member(vm, r.getIncarnation());
            if (known.isEmpty()) {
                fullReportDue = true;
            }
            Optional<FleetMember> member = r.isWhole() ? Optional.of(member(vm, r)) : known;
            if (member.isEmpty() || !view.applyReport(member.get(), r.getSequence(), r.isServing(), now)) {
                return false;
            }
            view.recordReach(vm, r.isSetReachesServers() ? Optional.of(r.isReachesServers()) : Optional.empty());
            Map<ClientAccountName, Long> totals = new HashMap<>();
            r.getAdmitted().forEach(t -> totals.put(new ClientAccountName(t.getAccount()), t.getAdmitted()));
            steering.quota().applyReport(vm, r.getIncarnation(), totals, r.isWhole(), now);
            if (r.isSetLimits()) {
                r.getLimits().forEach(l -> steering.applyLimitReport(vm, decode(l)));
            }
            if (r.isSetSuspects()) {
                r.getSuspects().forEach(q -> steering.applySuspectReport(vm, SuspectFormat.decode(q)));
            }
        } catch (IllegalArgumentException | NullPointerException e) {
            LogEvent.of("report-unreadable").with("cause", e).debug();
            return false;
        }
        follower.recordPeerVersion(
                Topic.OPERATOR, r.getConfigVersion(), steering.version().number());
        if (r.isSetStoreEra()) {
            follower.recordPeerServersVersion(r.getStoreEra(), r.getServersVersion());
        }
        return true;
    }

    private static FleetMember member(VmName vm, VmReport r) {
        return new FleetMember(
                vm,
                r.getIncarnation(),
                new DataCentreName(r.getDataCentre()),
                Endpoint.parse(r.getCallers()),
                Endpoint.parse(r.getReports()));
    }

    /** Updates the set of VMs that share the fleet-wide limits. */
    public void updateMembers() {
        steering.updateVms(view.sharers(), view.names());
        updateKnowledge();
        LogEvent.of("members-changed").with("vms", view.size() + 1).info();
    }

    /** Updates what is known of the fleet, which also changes with time. */
    public void updateKnowledge() {
        steering.updateFleet(view.knowledge(clock.monotonic()));
    }

    @Override
    public void close() {
        var _ = socket.close();
    }
}
