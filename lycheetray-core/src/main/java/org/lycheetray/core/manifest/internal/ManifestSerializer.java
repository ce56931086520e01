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

/** Writes the sections of a manifest in their fixed order. */
public final class ManifestSerializer {
    /** Writes one element of a list. */
    private interface ElementWriter<T> {
        void write(T element) throws IOException;
    }

    private final JsonGenerator g;
    private final Manifest manifest;
    private final Map<RegionName, List<DataCentre>> dataCentres;
    private final Map<DataCentreName, List<Vm>> vms;
    private final Map<ServiceName, List<BackendServer>> backendServers;

    /**
     * Prepares to write.
     *
     * @param g receives the JSON; stays open
     * @param manifest what to write
     */
    public ManifestSerializer(JsonGenerator g, Manifest manifest) {
        this.g = g;
        this.manifest = manifest;
        dataCentres = manifest.dataCentres().stream().collect(Collectors.groupingBy(DataCentre::region));
        vms = manifest.vms().stream().collect(Collectors.groupingBy(Vm::dataCentre));
        backendServers = manifest.backendServers().stream().collect(Collectors.groupingBy(BackendServer::service));
    }

    /**
     * Writes the whole manifest.
     *
     * @throws IOException if the generator's target fails
     */
    public void write() throws IOException {
        g.writeStartObject();
        g.writeNumberField("format", ManifestDocument.FORMAT);
        list("regions", manifest.regions(), this::region);
        list("links", manifest.links(), this::link);
        list("services", manifest.services(), this::service);
        list("routes", manifest.routes(), this::route);
        list("clientAccounts", manifest.clientAccounts(), this::clientAccount);
        list("clientBlocks", manifest.clientBlocks(), this::clientBlock);
        list("plannedDrains", manifest.plannedDrains(), this::plannedDrain);
        policy(manifest.policy());
        g.writeEndObject();
    }

    private void region(RegionName r) throws IOException {
        g.writeStringField("name", r.value());
        list("dataCentres", dataCentres.getOrDefault(r, List.of()), this::dataCentre);
    }

    private void dataCentre(DataCentre d) throws IOException {
        g.writeStringField("name", d.name().value());
        list("entryVms", vms.getOrDefault(d.name(), List.of()), this::vm);
    }

    private void vm(Vm v) throws IOException {
        g.writeStringField("name", v.name().value());
        g.writeStringField("callers", v.callers().toString());
        g.writeStringField("peers", v.peers().toString());
    }

    private void link(Link l) throws IOException {
        g.writeStringField("from", l.from().value());
        g.writeStringField("to", l.to().value());
        g.writeNumberField("mbitPerSecond", l.mbitPerSecond());
        millis("oneWayDelayMs", l.oneWayDelay());
    }

    private void service(Service s) throws IOException {
        g.writeStringField("name", s.name().value());
        millis("timeoutMs", s.timeout());
        millis("coldStartMs", s.coldStart());
        g.writeNumberField("queueLimit", s.queueLimit());
        g.writeObjectFieldStart("shiftCap");
        g.writeNumberField("permille", s.shiftCap().permille());
        millis("intervalMs", s.shiftCap().interval());
        g.writeEndObject();
        list("backendServers", backendServers.getOrDefault(s.name(), List.of()), this::backendServer);
    }

    private void backendServer(BackendServer b) throws IOException {
        g.writeStringField("name", b.name().value());
        g.writeStringField("dataCentre", b.dataCentre().value());
        g.writeStringField("address", b.endpoint().toString());
        g.writeNumberField("slots", b.slots());
        g.writeNumberField("connections", b.connections());
    }

    private void route(Route r) throws IOException {
        g.writeStringField("host", r.host());
        g.writeStringField("pathPrefix", r.pathPrefix());
        g.writeStringField("service", r.service().value());
        g.writeStringField("class", r.routeClass().label());
        g.writeBooleanField("open", r.open());
    }

    private void clientAccount(ClientAccount a) throws IOException {
        g.writeStringField("name", a.name().value());
        g.writeArrayFieldStart("keyHashes");
        for (KeyHash h : a.keyHashes()) {
            g.writeString(h.hex());
        }
        g.writeEndArray();
        g.writeNumberField("ratePerSecond", a.rate().perSecond());
        g.writeNumberField("burst", a.rate().burst());
        g.writeNumberField("weight", a.weight());
    }

    private void clientBlock(ClientBlock b) throws IOException {
        g.writeStringField("cidr", b.cidr());
        g.writeStringField("region", b.region().value());
    }

    private void plannedDrain(PlannedDrain d) throws IOException {
        g.writeObjectFieldStart("target");
        switch (d.target()) {
            case DrainTarget.OfRegion t ->
                g.writeStringField("region", t.region().value());
            case DrainTarget.OfDataCentre t ->
                g.writeStringField("dataCentre", t.dataCentre().value());
            case DrainTarget.OfBackendServer t ->
                g.writeStringField("backendServer", t.backendServer().value());
            case DrainTarget.OfVm t -> g.writeStringField("entryVm", t.vm().value());
        }
        g.writeEndObject();
        g.writeStringField("start", d.start().toString());
        g.writeStringField("end", d.end().toString());
    }

    private void policy(Policy p) throws IOException {
        g.writeObjectFieldStart("policy");
        millis("keyFreshnessLimitMs", p.keyFreshnessLimit());
        millis("lookupTtlMs", p.lookupTtl());
        millis("claimHorizonMs", p.claimHorizon());
        millis("drainLimitMs", p.drainLimit());
        g.writeNumberField("maxBodyBytes", p.maxBodyBytes());
        g.writeEndObject();
    }

    private void millis(String field, Duration d) throws IOException {
        g.writeNumberField(field, d.toMillis());
    }

    private <T> void list(String field, List<T> elements, ElementWriter<T> writer) throws IOException {
        g.writeArrayFieldStart(field);
        for (T element : elements) {
            g.writeStartObject();
            writer.write(element);
            g.writeEndObject();
        }
        g.writeEndArray();
    }
}
