package org.lycheetray.standin.demo;

import java.net.URI;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.lycheetray.core.model.BackendServer;
import org.lycheetray.core.model.ClientAccount;
import org.lycheetray.core.model.RouteClass;
import org.lycheetray.core.model.Vm;
import org.lycheetray.core.model.VmName;

/**
 * Where everything of a running demo is, in JSON.
 *
 * @param entryVms entry VMs and their processes
 * @param platform the platform's stand-in
 * @param backendServers backend servers
 * @param keys a key for each client account
 * @param manifest file of the manifest
 * @param routes a path for each kind of route
 */
public record DemoAddresses(
        List<EntryVm> entryVms,
        Platform platform,
        List<Server> backendServers,
        Map<String, String> keys,
        String manifest,
        Routes routes) {
    /** Copies the collections. */
    public DemoAddresses {
        entryVms = List.copyOf(entryVms);
        backendServers = List.copyOf(backendServers);
        keys = Map.copyOf(keys);
    }

    /**
     * An entry VM.
     *
     * @param name its name
     * @param region its region
     * @param dataCentre its data centre
     * @param url address for callers
     * @param pid process id of its daemon
     */
    public record EntryVm(String name, String region, String dataCentre, String url, long pid) {}

    /**
     * The platform.
     *
     * @param url its address
     */
    public record Platform(String url) {}

    /**
     * A backend server.
     *
     * @param name its name
     * @param service its service
     * @param region its region
     * @param dataCentre its data centre
     * @param url its address
     */
    public record Server(String name, String service, String region, String dataCentre, String url) {}

    /**
     * Paths by kind of route.
     *
     * @param read keyed, safe to retry
     * @param queue keyed, may wait
     * @param once keyed, at most once
     * @param open without key
     */
    public record Routes(String read, String queue, String once, String open) {}

    /**
     * Gathers the addresses.
     *
     * @param plan the example
     * @param manifest file of its manifest
     * @param platform the platform's address
     * @param pids process id of each entry VM's daemon
     * @return the addresses
     */
    public static DemoAddresses of(DemoPlan plan, String manifest, URI platform, Map<VmName, Long> pids) {
        Map<String, String> keys = new LinkedHashMap<>();
        for (ClientAccount a : plan.accounts()) {
            keys.put(a.name().value(), plan.key(a));
        }
        return new DemoAddresses(
                plan.vms().stream().map(v -> entryVm(plan, v, pids)).toList(),
                new Platform(platform.toString()),
                plan.backendServers().stream().map(b -> server(plan, b)).toList(),
                keys,
                manifest,
                new Routes(
                        plan.path(RouteClass.READ),
                        plan.path(RouteClass.QUEUE),
                        plan.path(RouteClass.ONCE),
                        plan.openPath()));
    }

    private static EntryVm entryVm(DemoPlan plan, Vm v, Map<VmName, Long> pids) {
        return new EntryVm(
                v.name().value(),
                plan.region(v.dataCentre()).value(),
                v.dataCentre().value(),
                "http://" + v.callerEndpoint(),
                pids.getOrDefault(v.name(), 0L));
    }

    private static Server server(DemoPlan plan, BackendServer b) {
        return new Server(
                b.name().value(),
                b.service().value(),
                plan.region(b.dataCentre()).value(),
                b.dataCentre().value(),
                "http://" + b.endpoint());
    }
}
