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

/** A manifest in force with the indexes that the request path needs. Immutable. */
public final class ActiveConfig {
    private final ConfigVersion version;
    private final Manifest manifest;
    private final RouteTable routes;
    private final Map<KeyHash, ClientAccountName> accountsByKey;
    private final Map<ServiceName, Service> services;
    private final Map<DataCentreName, RegionName> regions;
    private final Map<VmName, Vm> vms;

    /**
     * Creates the configuration and its indexes.
     *
     * @param version version of the manifest
     * @param manifest a valid manifest
     */
    public ActiveConfig(ConfigVersion version, Manifest manifest) {
        this.version = version;
        this.manifest = manifest;
        this.routes = new RouteTable(manifest.routes());
        this.accountsByKey = indexKeys(manifest);
        this.services = manifest.services().stream().collect(Collectors.toMap(Service::name, Function.identity()));
        this.regions = manifest.dataCentres().stream().collect(Collectors.toMap(DataCentre::name, DataCentre::region));
        this.vms = manifest.vms().stream().collect(Collectors.toMap(Vm::name, Function.identity()));
    }

    private record KeyEntry(KeyHash hash, ClientAccountName account) {}

    private static Map<KeyHash, ClientAccountName> indexKeys(Manifest m) {
        return m.clientAccounts().stream()
                .flatMap((ClientAccount a) -> a.keyHashes().stream().map(h -> new KeyEntry(h, a.name())))
                .collect(Collectors.toMap(KeyEntry::hash, KeyEntry::account));
    }

    /**
     * Returns the version of the manifest.
     *
     * @return the version
     */
    public ConfigVersion version() {
        return version;
    }

    /**
     * Returns the manifest.
     *
     * @return the manifest
     */
    public Manifest manifest() {
        return manifest;
    }

    /**
     * Returns the routes.
     *
     * @return the route table
     */
    public RouteTable routes() {
        return routes;
    }

    /**
     * Returns the client account that a key belongs to.
     *
     * @param hash hash of the key that a caller sent
     * @return the account, or empty if the manifest does not declare the key
     */
    public Optional<ClientAccountName> account(KeyHash hash) {
        return Optional.ofNullable(accountsByKey.get(hash));
    }

    /**
     * Returns a declared service.
     *
     * @param name name of a service in the manifest
     * @return the service
     */
    public Service service(ServiceName name) {
        return services.get(name);
    }

    /**
     * Returns the region of a declared data centre.
     *
     * @param dataCentre name of a data centre in the manifest
     * @return the region
     */
    public RegionName region(DataCentreName dataCentre) {
        return regions.get(dataCentre);
    }

    /**
     * Returns a declared entry VM.
     *
     * @param name name of the VM
     * @return the VM, or empty if the manifest does not declare it
     */
    public Optional<Vm> vm(VmName name) {
        return Optional.ofNullable(vms.get(name));
    }
}
