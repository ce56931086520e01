package org.lycheetray.measure.admission;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.lycheetray.core.model.ClientAccount;
import org.lycheetray.core.model.ClientAccountName;
import org.lycheetray.core.model.DataCentre;
import org.lycheetray.core.model.DataCentreName;
import org.lycheetray.core.model.Endpoint;
import org.lycheetray.core.model.Manifest;
import org.lycheetray.core.model.Policy;
import org.lycheetray.core.model.Rate;
import org.lycheetray.core.model.RegionName;
import org.lycheetray.core.model.Vm;
import org.lycheetray.core.model.VmName;

/**
 * Sizes, delays and rates of the two example deployments: three regions of two data centres, eight accounts.
 *
 * @param name name of the deployment
 * @param regions its regions
 * @param betweenDataCentres one-way delay within a region
 * @param betweenRegions one-way delay between regions
 * @param rates rates of its accounts
 */
record Deployment(
        String name, List<RegionName> regions, Duration betweenDataCentres, Duration betweenRegions, List<Rate> rates) {
    static final Deployment OLWYN = new Deployment(
            "olwyn",
            regions("gogledd", "de", "canolbarth"),
            Duration.ofMillis(1),
            Duration.ofMillis(12),
            List.of(
                    new Rate(400, 800),
                    new Rate(400, 800),
                    new Rate(120, 240),
                    new Rate(60, 120),
                    new Rate(60, 120),
                    new Rate(40, 100),
                    new Rate(20, 40),
                    new Rate(10, 20)));

    static final Deployment GATOLOTE = new Deployment(
            "gatolote",
            regions("guate-centro", "altiplano", "peten"),
            Duration.ofNanos(500_000),
            Duration.ofMillis(20),
            List.of(
                    new Rate(300, 600),
                    new Rate(300, 600),
                    new Rate(80, 160),
                    new Rate(40, 80),
                    new Rate(40, 80),
                    new Rate(30, 60),
                    new Rate(20, 40),
                    new Rate(10, 20)));

    static final List<Deployment> ALL = List.of(OLWYN, GATOLOTE);

    private static final int DATA_CENTRES_PER_REGION = 2;
    private static final Duration WITHIN_DATA_CENTRE = Duration.ofNanos(200_000);
    private static final Policy POLICY = new Policy(
            Duration.ofSeconds(60), Duration.ofSeconds(5), Duration.ofHours(24), Duration.ofSeconds(30), 1_000_000);

    private static List<RegionName> regions(String... names) {
        return Stream.of(names).map(RegionName::new).toList();
    }

    Manifest manifest(int vmCount) {
        List<DataCentre> dataCentres = new ArrayList<>();
        for (int i = 0; i < DATA_CENTRES_PER_REGION; i++) {
            for (RegionName r : regions) {
                dataCentres.add(new DataCentre(new DataCentreName(r + "-" + (i + 1)), r));
            }
        }
        List<Vm> vms = IntStream.range(0, vmCount)
                .mapToObj(i -> vm(i, dataCentres.get(i % dataCentres.size())))
                .toList();
        List<ClientAccount> accounts = IntStream.range(0, rates.size())
                .mapToObj(
                        i -> new ClientAccount(new ClientAccountName("account-" + (i + 1)), List.of(), rates.get(i), 1))
                .toList();
        return new Manifest(
                regions,
                dataCentres,
                vms,
                List.of(),
                List.of(),
                List.of(),
                List.of(),
                accounts,
                List.of(),
                List.of(),
                POLICY);
    }

    private static Vm vm(int i, DataCentre dataCentre) {
        Endpoint endpoint = new Endpoint("10.0.0." + (i + 1), 8080);
        return new Vm(new VmName("vm-" + (i + 1)), dataCentre.name(), endpoint, endpoint);
    }

    Duration delay(Vm a, Vm b) {
        if (a.dataCentre().equals(b.dataCentre())) {
            return WITHIN_DATA_CENTRE;
        }
        String ra = region(a);
        return ra.equals(region(b)) ? betweenDataCentres : betweenRegions;
    }

    private static String region(Vm vm) {
        String dc = vm.dataCentre().value();
        return dc.substring(0, dc.length() - 2);
    }
}
