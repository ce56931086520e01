package org.lycheetray.daemon.config;

import java.util.Map;
import java.util.Optional;
import java.util.function.Function;
import java.util.stream.Collectors;
import org.lycheetray.core.model.ClientAccount;
import org.lycheetray.core.model.ClientAccountName;
import org.lycheetray.core.model.ConfigVersion;
import org.lycheetray.core.model.DataCentre;
import org.lycheetray.core.model.DataCentreName;
import org.lycheetray.core.model.KeyHash;
import org.lycheetray.core.model.Manifest;
import org.lycheetray.core.model.RegionName;
import org.lycheetray.core.model.Service;
import org.lycheetray.core.model.ServiceName;
import org.lycheetray.core.model.Vm;
import org.lycheetray.core.model.VmName;
import org.lycheetray.core.routing.RouteTable;

/** A manifest in force with the indexes that the request path needs; immutable. */
public final class ActiveConfig {
    private final ConfigVersion version;
    private final Manifest manifest;
    private final RouteTable routes;
    private final Map<KeyHash, ClientAccountName> keys;
    private final Map<ServiceName, Service> services;
    private final Map<DataCentreName, RegionName> regions;
    private final Map<VmName, Vm> vms;

    /**
     * Builds the indexes.
     *
     * @param version version of the manifest
     * @param manifest the manifest, consistent
     */
    public ActiveConfig(ConfigVersion version, Manifest manifest) {
        this.version = version;
        this.manifest = manifest;
        this.routes = new RouteTable(manifest.routes());
        this.keys = keysOf(manifest);
        this.services = manifest.services().stream().collect(Collectors.toMap(Service::name, Function.identity()));
        this.regions = manifest.dataCentres().stream().collect(Collectors.toMap(DataCentre::name, DataCentre::region));
        this.vms = manifest.vms().stream().collect(Collectors.toMap(Vm::name, Function.identity()));
    }

    private record KeyEntry(KeyHash hash, ClientAccountName account) {}

    private static Map<KeyHash, ClientAccountName> keysOf(Manifest m) {
        return m.clientAccounts().stream()
                .flatMap((ClientAccount a) -> a.keyHashes().stream().map(h -> new KeyEntry(h, a.name())))
                .collect(Collectors.toMap(KeyEntry::hash, KeyEntry::account));
    }

    /**
     * The version in force.
     *
     * @return the version
     */
    public ConfigVersion version() {
        return version;
    }

    /**
     * The manifest in force.
     *
     * @return the manifest
     */
    public Manifest manifest() {
        return manifest;
    }

    /**
     * The routes.
     *
     * @return the table
     */
    public RouteTable routes() {
        return routes;
    }

    /**
     * Finds the client account of a key.
     *
     * @param hash hash of the key that a caller sent
     * @return its account, or empty if the key is not valid
     */
    public Optional<ClientAccountName> account(KeyHash hash) {
        return Optional.ofNullable(keys.get(hash));
    }

    /**
     * Finds a declared service.
     *
     * @param name a name that the manifest declares
     * @return the service
     */
    public Service service(ServiceName name) {
        return services.get(name);
    }

    /**
     * Finds the region of a declared data centre.
     *
     * @param dataCentre a name that the manifest declares
     * @return its region
     */
    public RegionName region(DataCentreName dataCentre) {
        return regions.get(dataCentre);
    }

    /**
     * Finds a declared entry VM.
     *
     * @param name name of the VM
     * @return the VM, or empty if the manifest does not declare it
     */
    public Optional<Vm> vm(VmName name) {
        return Optional.ofNullable(vms.get(name));
    }
}
