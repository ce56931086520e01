package org.lycheetray.core.manifest.internal;

import com.fasterxml.jackson.core.JsonGenerator;
import java.io.IOException;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;
import org.lycheetray.core.model.BackendServer;
import org.lycheetray.core.model.ClientAccount;
import org.lycheetray.core.model.ClientBlock;
import org.lycheetray.core.model.DataCentre;
import org.lycheetray.core.model.DataCentreName;
import org.lycheetray.core.model.DrainTarget;
import org.lycheetray.core.model.KeyHash;
import org.lycheetray.core.model.Link;
import org.lycheetray.core.model.Manifest;
import org.lycheetray.core.model.PlannedDrain;
import org.lycheetray.core.model.Policy;
import org.lycheetray.core.model.RegionName;
import org.lycheetray.core.model.Route;
import org.lycheetray.core.model.Service;
import org.lycheetray.core.model.ServiceName;
import org.lycheetray.core.model.Vm;

/** Writes the sections of a manifest as JSON in a fixed order. */
public final class ManifestSerializer {
    /** Writes the fields of one list element. */
    private interface ElementWriter<T> {
        void write(T element) throws IOException;
    }

    private final JsonGenerator generator;
    private final Manifest manifest;
    private final Map<RegionName, List<DataCentre>> dataCentres;
    private final Map<DataCentreName, List<Vm>> vms;
    private final Map<ServiceName, List<BackendServer>> backendServers;

    /**
     * Creates a serializer of one manifest.
     *
     * @param g the JSON generator to write to; is not closed
     * @param manifest the manifest to write
     */
    public ManifestSerializer(JsonGenerator g, Manifest manifest) {
        this.generator = g;
        this.manifest = manifest;
        dataCentres = manifest.dataCentres().stream().collect(Collectors.groupingBy(DataCentre::region));
        vms = manifest.vms().stream().collect(Collectors.groupingBy(Vm::dataCentre));
        backendServers = manifest.backendServers().stream().collect(Collectors.groupingBy(BackendServer::service));
    }

    /**
     * Writes the whole manifest.
     *
     * @throws IOException if writing to the generator's output fails
     */
    public void write() throws IOException {
        generator.writeStartObject();
        generator.writeNumberField("format", ManifestParser.FORMAT);
        writeList("regions", manifest.regions(), this::writeRegion);
        writeList("links", manifest.links(), this::writeLink);
        writeList("services", manifest.services(), this::writeService);
        writeList("routes", manifest.routes(), this::writeRoute);
        writeList("clientAccounts", manifest.clientAccounts(), this::writeClientAccount);
        writeList("clientBlocks", manifest.clientBlocks(), this::writeClientBlock);
        writeList("plannedDrains", manifest.plannedDrains(), this::writePlannedDrain);
        writePolicy(manifest.policy());
        generator.writeEndObject();
    }

    private void writeRegion(RegionName r) throws IOException {
        generator.writeStringField("name", r.value());
        writeList("dataCentres", dataCentres.getOrDefault(r, List.of()), this::writeDataCentre);
    }

    private void writeDataCentre(DataCentre d) throws IOException {
        generator.writeStringField("name", d.name().value());
        writeList("entryVms", vms.getOrDefault(d.name(), List.of()), this::writeVm);
    }

    private void writeVm(Vm v) throws IOException {
        generator.writeStringField("name", v.name().value());
        generator.writeStringField("callers", v.callerEndpoint().toString());
        generator.writeStringField("peers", v.peerEndpoint().toString());
    }

    private void writeLink(Link l) throws IOException {
        generator.writeStringField("from", l.from().value());
        generator.writeStringField("to", l.to().value());
        generator.writeNumberField("mbitPerSecond", l.mbitPerSecond());
        writeMillis("oneWayDelayMs", l.oneWayDelay());
    }

    private void writeService(Service s) throws IOException {
        generator.writeStringField("name", s.name().value());
        writeMillis("timeoutMs", s.timeout());
        writeMillis("coldStartMs", s.coldStart());
        generator.writeNumberField("queueLimit", s.queueLimit());
        generator.writeObjectFieldStart("shiftCap");
        generator.writeNumberField("permille", s.shiftCap().permille());
        writeMillis("intervalMs", s.shiftCap().interval());
        generator.writeEndObject();
        writeList("backendServers", backendServers.getOrDefault(s.name(), List.of()), this::writeBackendServer);
    }

    private void writeBackendServer(BackendServer b) throws IOException {
        generator.writeStringField("name", b.name().value());
        generator.writeStringField("dataCentre", b.dataCentre().value());
        generator.writeStringField("address", b.endpoint().toString());
        generator.writeNumberField("slots", b.slots());
        generator.writeNumberField("connections", b.connections());
    }

    private void writeRoute(Route r) throws IOException {
        generator.writeStringField("host", r.host());
        generator.writeStringField("pathPrefix", r.pathPrefix());
        generator.writeStringField("service", r.service().value());
        generator.writeStringField("class", r.routeClass().label());
        generator.writeBooleanField("open", r.open());
    }

    private void writeClientAccount(ClientAccount a) throws IOException {
        generator.writeStringField("name", a.name().value());
        generator.writeArrayFieldStart("keyHashes");
        for (KeyHash h : a.keyHashes()) {
            generator.writeString(h.hex());
        }
        generator.writeEndArray();
        generator.writeNumberField("ratePerSecond", a.rate().perSecond());
        generator.writeNumberField("burst", a.rate().burst());
        generator.writeNumberField("weight", a.weight());
    }

    private void writeClientBlock(ClientBlock b) throws IOException {
        generator.writeStringField("cidr", b.cidr());
        generator.writeStringField("region", b.region().value());
    }

    private void writePlannedDrain(PlannedDrain d) throws IOException {
        generator.writeObjectFieldStart("target");
        switch (d.target()) {
            case DrainTarget.OfRegion t ->
                generator.writeStringField("region", t.region().value());
            case DrainTarget.OfDataCentre t ->
                generator.writeStringField("dataCentre", t.dataCentre().value());
            case DrainTarget.OfBackendServer t ->
                generator.writeStringField("backendServer", t.backendServer().value());
            case DrainTarget.OfVm t -> generator.writeStringField("entryVm", t.vm().value());
        }
        generator.writeEndObject();
        generator.writeStringField("start", d.start().toString());
        generator.writeStringField("end", d.end().toString());
    }

    private void writePolicy(Policy p) throws IOException {
        generator.writeObjectFieldStart("policy");
        writeMillis("keyFreshnessLimitMs", p.keyFreshnessLimit());
        writeMillis("lookupTtlMs", p.lookupTtl());
        writeMillis("claimHorizonMs", p.claimHorizon());
        writeMillis("drainLimitMs", p.drainLimit());
        generator.writeNumberField("maxBodyBytes", p.maxBodyBytes());
        generator.writeEndObject();
    }

    private void writeMillis(String field, Duration d) throws IOException {
        generator.writeNumberField(field, d.toMillis());
    }

    private <T> void writeList(String field, List<T> elements, ElementWriter<T> writer) throws IOException {
        generator.writeArrayFieldStart(field);
        for (T element : elements) {
            generator.writeStartObject();
            writer.write(element);
            generator.writeEndObject();
        }
        generator.writeEndArray();
    }
}
