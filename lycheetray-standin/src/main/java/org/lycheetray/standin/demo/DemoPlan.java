package org.lycheetray.standin.demo;

import java.util.List;
import java.util.function.Predicate;
import org.lycheetray.core.model.BackendServer;
import org.lycheetray.core.model.ClientAccount;
import org.lycheetray.core.model.DataCentre;
import org.lycheetray.core.model.DataCentreName;
import org.lycheetray.core.model.KeyHash;
import org.lycheetray.core.model.Manifest;
import org.lycheetray.core.model.RegionName;
import org.lycheetray.core.model.Route;
import org.lycheetray.core.model.RouteClass;
import org.lycheetray.core.model.Vm;

/** What the demo needs to know of an example manifest. */
public final class DemoPlan {
    private final Manifest manifest;

    /**
     * Creates a plan.
     *
     * @param manifest example whose keys are {@code demo-key-ACCOUNT}
     */
    public DemoPlan(Manifest manifest) {
        this.manifest = manifest;
    }

    /**
     * Gives the entry VMs.
     *
     * @return all entry VMs in order of declaration
     */
    public List<Vm> vms() {
        return manifest.vms();
    }

    List<BackendServer> backendServers() {
        return manifest.backendServers();
    }

    Vm vm(int i) {
        return vms().get(Math.floorMod(i, vms().size()));
    }

    RegionName region(DataCentreName name) {
        return manifest.dataCentres().stream()
                .filter(d -> d.name().equals(name))
                .map(DataCentre::region)
                .findFirst()
                .orElseThrow();
    }

    String openPath() {
        return path(r -> r.open());
    }

    String path(RouteClass c) {
        return path(r -> !r.open() && r.routeClass() == c);
    }

    List<ClientAccount> accounts() {
        return manifest.clientAccounts();
    }

    /** Gives the account with the greatest burst, which no check uses up. */
    ClientAccount largeAccount() {
        return accounts().stream()
                .reduce((a, b) -> a.rate().burst() >= b.rate().burst() ? a : b)
                .orElseThrow();
    }

    /** Gives the account with the smallest burst. */
    ClientAccount smallAccount() {
        return accounts().stream()
                .reduce((a, b) -> a.rate().burst() <= b.rate().burst() ? a : b)
                .orElseThrow();
    }

    String key(ClientAccount a) {
        String key = "demo-key-" + a.name();
        if (!a.keyHashes().contains(KeyHash.of(key))) {
            throw new IllegalArgumentException("the manifest does not accept " + key + " for " + a.name());
        }
        return key;
    }

    private String path(Predicate<Route> wanted) {
        return manifest.routes().stream()
                .filter(wanted)
                .map(Route::pathPrefix)
                .findFirst()
                .orElseThrow();
    }
}
