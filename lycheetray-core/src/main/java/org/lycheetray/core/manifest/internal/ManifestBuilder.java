package org.lycheetray.core.manifest.internal;

import java.util.ArrayList;
import java.util.List;
import org.lycheetray.core.model.BackendServer;
import org.lycheetray.core.model.ClientAccount;
import org.lycheetray.core.model.ClientBlock;
import org.lycheetray.core.model.DataCentre;
import org.lycheetray.core.model.Link;
import org.lycheetray.core.model.Manifest;
import org.lycheetray.core.model.PlannedDrain;
import org.lycheetray.core.model.Policy;
import org.lycheetray.core.model.RegionName;
import org.lycheetray.core.model.Route;
import org.lycheetray.core.model.Service;
import org.lycheetray.core.model.Vm;

/** Collects the elements of a manifest while it is parsed. */
final class ManifestBuilder {
    final List<RegionName> regions = new ArrayList<>();
    final List<DataCentre> dataCentres = new ArrayList<>();
    final List<Vm> vms = new ArrayList<>();
    final List<Link> links = new ArrayList<>();
    final List<Service> services = new ArrayList<>();
    final List<BackendServer> backendServers = new ArrayList<>();
    final List<Route> routes = new ArrayList<>();
    final List<ClientAccount> clientAccounts = new ArrayList<>();
    final List<ClientBlock> clientBlocks = new ArrayList<>();
    final List<PlannedDrain> plannedDrains = new ArrayList<>();
    Policy policy = Policy.DEFAULT;

    Manifest build() {
        return new Manifest(
                regions,
                dataCentres,
                vms,
                links,
                services,
                backendServers,
                routes,
                clientAccounts,
                clientBlocks,
                plannedDrains,
                policy);
    }
}
