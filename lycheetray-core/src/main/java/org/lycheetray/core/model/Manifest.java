package org.lycheetray.core.model;

import java.util.List;

/**
 * The complete configuration that operators declare, as an immutable value.
 *
 * <p>Every name that a manifest references is declared in it. The parser guarantees this, so other code does not check
 * references again.
 *
 * @param regions regions in the order of declaration
 * @param dataCentres data centres of all regions
 * @param vms entry VMs of all data centres
 * @param links network links between regions
 * @param services all services
 * @param backendServers backend servers of all services
 * @param routes routes; their order is not significant
 * @param clientAccounts all client accounts
 * @param clientBlocks client address blocks with their nearest regions
 * @param plannedDrains all planned drains
 * @param policy fleet-wide settings
 */
public record Manifest(
        List<RegionName> regions,
        List<DataCentre> dataCentres,
        List<Vm> vms,
        List<Link> links,
        List<Service> services,
        List<BackendServer> backendServers,
        List<Route> routes,
        List<ClientAccount> clientAccounts,
        List<ClientBlock> clientBlocks,
        List<PlannedDrain> plannedDrains,
        Policy policy) {
    /** Copies the lists. */
    public Manifest {
        regions = List.copyOf(regions);
        dataCentres = List.copyOf(dataCentres);
        vms = List.copyOf(vms);
        links = List.copyOf(links);
        services = List.copyOf(services);
        backendServers = List.copyOf(backendServers);
        routes = List.copyOf(routes);
        clientAccounts = List.copyOf(clientAccounts);
        clientBlocks = List.copyOf(clientBlocks);
        plannedDrains = List.copyOf(plannedDrains);
    }
}
