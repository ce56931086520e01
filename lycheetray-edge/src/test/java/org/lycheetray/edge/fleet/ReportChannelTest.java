package org.lycheetray.edge.fleet;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.lycheetray.core.fleet.FleetMember;
import org.lycheetray.core.fleet.FleetView;
import org.lycheetray.core.model.DataCentreName;
import org.lycheetray.core.model.Endpoint;
import org.lycheetray.core.model.RegionName;
import org.lycheetray.core.model.VmName;
import org.lycheetray.core.time.Clock;
import org.lycheetray.edge.EdgeSettingsFixture;
import org.lycheetray.edge.Transport;
import org.lycheetray.edge.exchange.TrafficSteering;
import org.lycheetray.edge.settings.EdgeSettings;
import org.lycheetray.edge.store.StoreFollower;

/** Reports between two VMs of one region and a VM of another, in a fleet that is too large to report to every VM. */
class ReportChannelTest {
    private static final Map<String, String> REGIONS = Map.of("dc-a", "a", "dc-b", "b", "dc-c", "c");
    private static final int OTHER_VMS = 40;
    private static final long TIMEOUT_NS = Duration.ofSeconds(20).toNanos();

    private final Transport transport = new Transport();
    private final List<Node> nodes = new ArrayList<>();

    /** A VM with its own view of the fleet and its own report socket. */
    private final class Node {
        private final FleetMember member;
        private final FleetView view;
        private final ReportChannel reports;

        Node(FleetMember member) {
            this.member = member;
            EdgeSettings s = EdgeSettingsFixture.vm(
                    member.vm().value(), member.dataCentre().value(), REGIONS);
            view = new FleetView(member.vm(), s.regions());
            TrafficSteering steering = new TrafficSteering(s, Clock.system(), new SplittableRandom(1));
            StoreFollower follower =
                    new StoreFollower(null, steering, transport.eventLoop(), Clock.system(), new SplittableRandom(1));
            follower.stop();
            reports = new ReportChannel(transport, member, view, steering, follower, () -> true, Clock.system());
            nodes.add(this);
        }

        boolean hasReportFrom(Node other) {
            return view.vmsForCaller(
                            Optional.empty(),
                            Optional.of(new RegionName(
                                    REGIONS.get(other.member.dataCentre().value()))),
                            Set.of(),
                            Clock.system().monotonic())
                    .contains(other.member);
        }
    }

    @AfterEach
    void stop() {
        nodes.forEach(n -> n.reports.close());
        transport.close();
    }

    private static FleetMember member(String name, String dc) throws IOException {
        try (DatagramSocket s = new DatagramSocket(0, InetAddress.getLoopbackAddress())) {
            Endpoint e = new Endpoint("127.0.0.1", s.getLocalPort());
            return new FleetMember(new VmName(name), 1, new DataCentreName(dc), e, e);
        }
    }

    @Test
    void reportFromAnotherRegionIsRelayedWithinTheRegion() throws Exception {
        Node first = new Node(member("a-1", "dc-a"));
        Node second = new Node(member("a-2", "dc-a"));
        Node remote = new Node(member("b-1", "dc-b"));
        List<FleetMember> all = new ArrayList<>(List.of(first.member, second.member, remote.member));
        for (int i = 0; i < OTHER_VMS; i++) {
            all.add(member("c-" + i, "dc-c"));
        }
        nodes.forEach(n -> n.view.addRecordedVms(all, Clock.system().monotonic()));

        long limit = System.nanoTime() + TIMEOUT_NS;
        while (!(first.hasReportFrom(remote) && second.hasReportFrom(remote) && first.hasReportFrom(second))) {
            assertThat(System.nanoTime()).isLessThan(limit);
            remote.view.addRecordedVms(all, Clock.system().monotonic());
            transport
                    .eventLoop()
                    .submit(() -> nodes.forEach(n -> n.reports.send()))
                    .syncUninterruptibly();
            Thread.sleep(20);
        }
        assertThat(remote.view
                        .recipients(remote.member, 1, Clock.system().monotonic())
                        .direct())
                .isEmpty();
    }
}
