package org.lycheetray.core.manifest.internal;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.lycheetray.core.manifest.internal.NameRegistry.Kind;
import org.lycheetray.core.model.BackendServerName;
import org.lycheetray.core.model.ClientBlock;
import org.lycheetray.core.model.DataCentre;
import org.lycheetray.core.model.DataCentreName;
import org.lycheetray.core.model.DrainTarget;
import org.lycheetray.core.model.Link;
import org.lycheetray.core.model.PlannedDrain;
import org.lycheetray.core.model.RegionName;
import org.lycheetray.core.model.Vm;
import org.lycheetray.core.model.VmName;

/** Reads the regions, links, client blocks and planned drains of a manifest. */
final class TopologySection {
    private static final long MAX_MBIT_PER_SECOND = 100_000_000;
    private static final Duration MAX_DELAY = Duration.ofMinutes(1);

    private final ManifestBuilder builder;
    private final NameRegistry names;

    TopologySection(ManifestBuilder builder, NameRegistry names) {
        this.builder = builder;
        this.names = names;
    }

    void readRegion(ObjectFields f) {
        RegionName region = new RegionName(f.name("name", n -> names.declare(Kind.REGION, n, f.pathOf("name"))));
        builder.regions.add(region);
        f.objects("dataCentres", d -> readDataCentre(region, d));
    }

    void readLink(ObjectFields f) {
        RegionName from = readRegionReference(f, "from");
        RegionName to = readRegionReference(f, "to");
        if (from.equals(to) && f.has("from") && f.has("to")) {
            f.report("to", "a link must connect two different regions");
        }
        names.declare(Kind.LINK, from + " to " + to, f.pathOf("from"));
        long capacity = f.integer("mbitPerSecond", 1, MAX_MBIT_PER_SECOND);
        builder.links.add(new Link(from, to, capacity, f.millis("oneWayDelayMs", Duration.ZERO, MAX_DELAY)));
    }

    void readClientBlock(ObjectFields f) {
        String cidr = f.text("cidr").orElse("0.0.0.0/0");
        String problem = AddressUtil.cidrProblem(cidr);
        if (!problem.isEmpty()) {
            f.report("cidr", problem);
        }
        names.declare(Kind.CLIENT_BLOCK, cidr, f.pathOf("cidr"));
        builder.clientBlocks.add(new ClientBlock(cidr, readRegionReference(f, "region")));
    }

    void readPlannedDrain(ObjectFields f) {
        Instant start = f.instant("start");
        Instant end = f.instant("end");
        if (f.has("start") && f.has("end") && !start.isBefore(end)) {
            f.report("end", "expected a time after its start " + start + " but was " + end);
        }
        f.object(
                "target",
                t -> readDrainTarget(t).ifPresent(target -> {
                    builder.plannedDrains.add(new PlannedDrain(target, start, end));
                }));
    }

    private void readDataCentre(RegionName region, ObjectFields f) {
        DataCentreName name =
                new DataCentreName(f.name("name", n -> names.declare(Kind.DATA_CENTRE, n, f.pathOf("name"))));
        builder.dataCentres.add(new DataCentre(name, region));
        f.objects("entryVms", v -> readEntryVm(name, v));
    }

    private void readEntryVm(DataCentreName dataCentre, ObjectFields f) {
        VmName name = new VmName(f.name("name", n -> names.declare(Kind.VM, n, f.pathOf("name"))));
        builder.vms.add(new Vm(
                name,
                dataCentre,
                f.endpoint("callers", a -> names.declare(Kind.ADDRESS, a, f.pathOf("callers"))),
                f.endpoint("peers", a -> names.declare(Kind.ADDRESS, a, f.pathOf("peers")))));
    }

    private Optional<DrainTarget> readDrainTarget(ObjectFields f) {
        List<DrainTarget> found = new ArrayList<>();
        if (f.has("region")) {
            found.add(new DrainTarget.OfRegion(readRegionReference(f, "region")));
        }
        if (f.has("dataCentre")) {
            found.add(
                    new DrainTarget.OfDataCentre(new DataCentreName(readReference(f, "dataCentre", Kind.DATA_CENTRE))));
        }
        if (f.has("backendServer")) {
            found.add(new DrainTarget.OfBackendServer(
                    new BackendServerName(readReference(f, "backendServer", Kind.BACKEND_SERVER))));
        }
        if (f.has("entryVm")) {
            found.add(new DrainTarget.OfVm(new VmName(readReference(f, "entryVm", Kind.VM))));
        }
        if (found.size() != 1) {
            f.reportHere("expected exactly one of region, dataCentre, backendServer and entryVm");
            return Optional.empty();
        }
        return Optional.of(found.getFirst());
    }

    private RegionName readRegionReference(ObjectFields f, String field) {
        return new RegionName(readReference(f, field, Kind.REGION));
    }

    private String readReference(ObjectFields f, String field, Kind kind) {
        return f.name(field, n -> names.addReference(kind, n, f.pathOf(field)));
    }
}
