package org.lycheetray.edge.fleet;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.DatagramPacket;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.BooleanSupplier;
import org.lycheetray.core.fleet.FleetMember;
import org.lycheetray.core.fleet.FleetView;
import org.lycheetray.core.fleet.ReportRecipients;
import org.lycheetray.core.model.ClientAccountName;
import org.lycheetray.core.model.DataCentreName;
import org.lycheetray.core.model.Endpoint;
import org.lycheetray.core.model.VmName;
import org.lycheetray.core.time.Clock;
import org.lycheetray.core.time.MonotonicTime;
import org.lycheetray.daemon.log.LogEvent;
import org.lycheetray.edge.Transport;
import org.lycheetray.edge.exchange.Steering;
import org.lycheetray.edge.store.StoreFollower;
import org.lycheetray.edge.store.Topic;
import org.lycheetray.protocol.MessageCodec;
import org.lycheetray.protocol.generated.AccountTotal;
import org.lycheetray.protocol.generated.VmReport;

/**
 * Tells the other VMs what this one has admitted and hears the same from them, by datagrams.
 *
 * <p>Datagrams have no connection that could go silent; a lost one is made up for by the next. For the event loop.
 */
public final class Reports implements AutoCloseable {
    /** Reports of a large fleet of which one leaves nothing out: a lost total is made up for within a few seconds. */
    private static final int WHOLE_EVERY = 8;

    private final FleetMember self;
    private final FleetView view;
    private final Steering steering;
    private final StoreFollower follower;
    private final BooleanSupplier serving;
    private final Clock clock;
    private final Channel socket;
    private final Map<String, VmReport> relayed = new LinkedHashMap<>();
    private boolean wholeDue;
    private long sequence;

    /**
     * Starts to listen.
     *
     * @param transport the event loop
     * @param self this life of this VM
     * @param view takes what is heard
     * @param steering takes the totals
     * @param follower learns whether other VMs are ahead
     * @param serving true if look-ups may name this VM
     * @param clock the clock
     */
    public Reports(
            Transport transport,
            FleetMember self,
            FleetView view,
            Steering steering,
            StoreFollower follower,
            BooleanSupplier serving,
            Clock clock) {
        this.self = self;
        this.view = view;
        this.steering = steering;
        this.follower = follower;
        this.serving = serving;
        this.clock = clock;
        this.socket = transport
                .datagrams()
                .handler(new SimpleChannelInboundHandler<DatagramPacket>() {
                    @Override
                    protected void channelRead0(ChannelHandlerContext ctx, DatagramPacket p) {
                        received(p);
                    }

                    @Override
                    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
                        LogEvent.of("report-failed").with("cause", cause).debug();
                    }
                })
                .bind(new InetSocketAddress(
                        self.reportEndpoint().host(), self.reportEndpoint().port()))
                .addListener(f -> logBind(f.cause()))
                .channel();
    }

    private static void logBind(Throwable cause) {
        if (cause != null) {
            LogEvent.of("reports-not-received")
                    .with("step", "bind")
                    .with("cause", cause)
                    .error();
        }
    }

    /** Tells the other VMs, and passes on within the region what was heard from others. */
    public void send() {
        ReportRecipients audience = view.recipients(self, ++sequence, clock.monotonic());
        boolean whole = !audience.usesRelays() || wholeDue || sequence % WHOLE_EVERY == 0;
        wholeDue = false;
        VmReport own = report(whole);
        steering.quota().recordReported();
        write(audience.relays(), own);
        if (audience.usesRelays()) {
            own.setRelayed(List.copyOf(relayed.values()));
        }
        relayed.clear();
        write(audience.direct(), own);
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

    private VmReport report(boolean whole) {
        List<AccountTotal> totals = new ArrayList<>();
        steering.quota().admittedTotals(whole).forEach((name, n) -> totals.add(new AccountTotal(name.value(), n)));
        VmReport r = new VmReport();
        r.setVm(self.vm().value());
        r.setIncarnation(self.incarnation());
        r.setSequence(sequence);
        r.setWhole(whole);
        if (whole) {
            r.setDataCentre(self.dataCentre().value());
            r.setCallers(self.callerEndpoint().toString());
            r.setReports(self.reportEndpoint().toString());
        }
        r.setServing(serving.getAsBoolean());
        r.setAdmitted(totals);
        r.setConfigVersion(steering.version().number());
        r.setServersVersion(follower.serversVersion());
        return r;
    }

    private void received(DatagramPacket p) {
        byte[] bytes = new byte[p.content().readableBytes()];
        p.content().readBytes(bytes);
        MessageCodec.decodeAlone(bytes, new VmReport())
                .peek(this::takeAll)
                .peekLeft(e -> LogEvent.of("report-unreadable")
                        .with("from", p.sender())
                        .with("cause", e)
                        .debug());
    }

    private void takeAll(VmReport r) {
        int before = view.size();
        if (r.isSetRelayed()) {
            r.getRelayed().forEach(this::take);
            r.unsetRelayed();
        }
        if (take(r) && !view.receivesReportsDirectly(self, new VmName(r.getVm()))) {
            relayed.put(r.getVm(), r);
        }
        if (view.size() != before) {
            membersChanged();
        }
    }

    /** Takes one VM's report; returns true if it was news. */
    private boolean take(VmReport r) {
        MonotonicTime now = clock.monotonic();
        try {
            VmName vm = new VmName(r.getVm());
            if (vm.equals(self.vm())) {
                return false;
            }
            Optional<FleetMember> known = view.member(vm, r.getIncarnation());
            if (known.isEmpty()) {
                wholeDue = true;
            }
            Optional<FleetMember> member = r.isWhole() ? Optional.of(member(vm, r)) : known;
            if (member.isEmpty() || !view.applyReport(member.get(), r.getSequence(), r.isServing(), now)) {
                return false;
            }
            Map<ClientAccountName, Long> totals = new HashMap<>();
            r.getAdmitted().forEach(t -> totals.put(new ClientAccountName(t.getAccount()), t.getAdmitted()));
            steering.quota().applyReport(vm, r.getIncarnation(), totals, r.isWhole(), now);
        } catch (IllegalArgumentException | NullPointerException e) {
            LogEvent.of("report-unreadable").with("cause", e).debug();
            return false;
        }
        follower.othersKnow(
                Topic.OPERATOR, r.getConfigVersion(), steering.version().number());
        follower.othersKnow(Topic.SERVERS, r.getServersVersion(), follower.position(Topic.SERVERS));
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

    /** Tells the decisions how many VMs share the fleet's limits. */
    public void membersChanged() {
        Map<VmName, DataCentreName> others = new HashMap<>();
        view.members().forEach(m -> others.put(m.vm(), m.dataCentre()));
        steering.vms(others);
        LogEvent.of("members-changed").with("vms", view.size() + 1).info();
    }

    @Override
    public void close() {
        var _ = socket.close();
    }
}
