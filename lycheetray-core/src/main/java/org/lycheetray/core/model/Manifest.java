package org.lycheetray.core.model;

import java.util.List;

/**
 * Everything that operators declare, as one immutable value.
 *
 * <p>A manifest is complete and consistent: every name that it uses is declared in it. The parser guarantees that, so
 * that the rest of the system need not check again.
 *
 * @param regions regions in order of declaration
 * @param dataCentres data centres of all regions
 * @param vms entry VMs of all data centres
 * @param links limits between regions
 * @param services services
 * @param backendServers backend servers of all services
 * @param routes routes; order does not matter
 * @param clientAccounts client accounts
 * @param clientBlocks client address blocks with their nearest regions
 * @param plannedDrains planned drains
 * @param policy settings of the whole fleet
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
