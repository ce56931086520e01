package org.lycheetray.standin.example;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import org.lycheetray.core.model.BackendServer;
import org.lycheetray.core.model.BackendServerName;
import org.lycheetray.core.model.ClientAccount;
import org.lycheetray.core.model.ClientAccountName;
import org.lycheetray.core.model.ClientBlock;
import org.lycheetray.core.model.DataCentre;
import org.lycheetray.core.model.DataCentreName;
import org.lycheetray.core.model.DrainTarget;
import org.lycheetray.core.model.Endpoint;
import org.lycheetray.core.model.Link;
import org.lycheetray.core.model.Manifest;
import org.lycheetray.core.model.PlannedDrain;
import org.lycheetray.core.model.Policy;
import org.lycheetray.core.model.RegionName;
import org.lycheetray.core.model.Route;
import org.lycheetray.core.model.Service;
import org.lycheetray.core.model.ServiceName;
import org.lycheetray.core.model.ShiftCap;
import org.lycheetray.core.model.Vm;
import org.lycheetray.core.model.VmName;

/** Turns the shape of an example into a manifest. */
final class ExampleBuilder {
    private static final String HOST = "127.0.0.1";
    private static final long LINK_MBIT_PER_SECOND = 4_000;
    private static final ShiftCap SHIFT_CAP = new ShiftCap(200, Duration.ofSeconds(10));
    private static final Duration COLD_START = Duration.ofSeconds(5);
    private static final Instant DRAIN_START = Instant.parse("2027-03-07T02:00:00Z");
    private static final Instant DRAIN_END = Instant.parse("2027-03-07T04:00:00Z");
    private static final List<List<String>> BLOCKS_OF_REGIONS = List.of(
            List.of("127.0.0.0/10", "192.0.2.0/24", "2001:db8::/33"),
            List.of("127.64.0.0/10", "198.51.100.0/24", "2001:db8:8000::/34"),
            List.of("127.128.0.0/9", "203.0.113.0/24", "2001:db8:c000::/34"));
    private static final Policy POLICY = new Policy(
            Duration.ofSeconds(10), Duration.ofSeconds(5), Duration.ofHours(24), Duration.ofSeconds(30), 16L << 20);

    private final ExampleDeployment deployment;
    private final List<RegionName> regions;
    private final List<DataCentre> dataCentres = new ArrayList<>();

    ExampleBuilder(ExampleDeployment deployment) {
        this.deployment = deployment;
        regions = deployment.regions().stream().map(RegionName::new).toList();
        for (RegionName r : regions) {
            dataCentres.add(new DataCentre(new DataCentreName(r + "-a"), r));
            dataCentres.add(new DataCentre(new DataCentreName(r + "-b"), r));
        }
    }

    Manifest build() {
        return new Manifest(
                regions,
                dataCentres,
                vms(),
                links(),
                deployment.services().stream().map(ExampleBuilder::service).toList(),
                backendServers(),
                deployment.routes().stream().map(ExampleBuilder::route).toList(),
                deployment.accounts().stream().map(ExampleBuilder::account).toList(),
                clientBlocks(),
                List.of(new PlannedDrain(
                        new DrainTarget.OfDataCentre(dataCentres.getLast().name()), DRAIN_START, DRAIN_END)),
                POLICY);
    }

    private List<Vm> vms() {
        List<Vm> vms = new ArrayList<>();
        for (int dc = 0; dc < dataCentres.size(); dc++) {
            DataCentreName name = dataCentres.get(dc).name();
            for (int i = 1; i <= shareOf(dc, deployment.entryVms()); i++) {
                int number = vms.size() + 1;
                vms.add(new Vm(
                        new VmName(name + "-" + i),
                        name,
                        new Endpoint(HOST, deployment.ports().callers() + number),
                        new Endpoint(HOST, deployment.ports().peers() + number)));
            }
        }
        return vms;
    }

    private List<Link> links() {
        List<Link> links = new ArrayList<>();
        for (RegionName from : regions) {
            for (RegionName to : regions) {
                if (!from.equals(to)) {
                    links.add(new Link(from, to, LINK_MBIT_PER_SECOND, deployment.regionDelay()));
                }
            }
        }
        return links;
    }

    private List<BackendServer> backendServers() {
        List<BackendServer> servers = new ArrayList<>();
        for (ExampleDeployment.ExampleService s : deployment.services()) {
            int number = 0;
            for (int dc = 0; dc < dataCentres.size(); dc++) {
                for (int i = 0; i < shareOf(dc, s.instances()); i++) {
                    number++;
                    servers.add(backendServer(s, number, dc, servers.size() + 1));
                }
            }
        }
        return servers;
    }

    private BackendServer backendServer(ExampleDeployment.ExampleService s, int number, int dc, int port) {
        return new BackendServer(
                new BackendServerName(s.name() + "-" + number),
                new ServiceName(s.name()),
                dataCentres.get(dc).name(),
                new Endpoint(HOST, deployment.ports().backendServers() + port),
                s.slots(),
                deployment.connections());
    }

    private List<ClientBlock> clientBlocks() {
        List<ClientBlock> blocks = new ArrayList<>();
        for (int i = 0; i < regions.size(); i++) {
            RegionName region = regions.get(i);
            BLOCKS_OF_REGIONS.get(i).forEach(cidr -> blocks.add(new ClientBlock(cidr, region)));
        }
        return blocks;
    }

    private int shareOf(int dataCentre, int total) {
        int even = total / dataCentres.size();
        return dataCentre < total % dataCentres.size() ? even + 1 : even;
    }

    private static Service service(ExampleDeployment.ExampleService s) {
        return new Service(new ServiceName(s.name()), SHIFT_CAP, s.timeout(), COLD_START, s.queueLimit());
    }

    private static Route route(ExampleDeployment.ExampleRoute r) {
        return new Route(Route.ANY_HOST, r.pathPrefix(), new ServiceName(r.service()), r.routeClass(), r.open());
    }

    private static ClientAccount account(ExampleDeployment.ExampleAccount a) {
        return new ClientAccount(
                new ClientAccountName(a.name()), List.of(ExampleManifests.keyHash(a.name())), a.rate(), a.weight());
    }
}
