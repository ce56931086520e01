package org.lycheetray.core.traffic;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import org.lycheetray.core.model.ConfigVersion;
import org.lycheetray.core.model.ServiceName;

/** One version of the desired state, complete and consistent, with the indexes that requests need. */
public final class TrafficConfig {
    private final ConfigVersion version;
    private final List<TrafficRoute> routes;
    private final Map<ServiceName, TrafficService> services;
    private final ClientLimits limits;
    private final Optional<List<AccountPolicy>> accounts;
    private final Map<String, List<TrafficRoute>> byHost;
    private final Map<String, AccountPolicy> byKey;

    /**
     * Creates a configuration.
     *
     * @param version its version
     * @param routes routes in any order
     * @param services services, each named once
     * @param limits limits for callers
     * @param accounts client accounts, empty if requests carry no keys at all
     */
    public TrafficConfig(
            ConfigVersion version,
            List<TrafficRoute> routes,
            List<TrafficService> services,
            ClientLimits limits,
            Optional<List<AccountPolicy>> accounts) {
        this.version = version;
        this.routes = List.copyOf(routes);
        this.limits = limits;
        this.accounts = accounts.map(List::copyOf);
        Map<ServiceName, TrafficService> byName = new HashMap<>();
        services.forEach(s -> byName.put(s.name(), s));
        this.services = Map.copyOf(byName);
        this.byHost = byHost(routes);
        Map<String, AccountPolicy> keys = new HashMap<>();
        accounts.orElse(List.of()).forEach(a -> a.keys().forEach(k -> keys.put(k, a)));
        this.byKey = Map.copyOf(keys);
    }

    private static Map<String, List<TrafficRoute>> byHost(List<TrafficRoute> routes) {
        Map<String, List<TrafficRoute>> hosts = new HashMap<>();
        routes.stream()
                .sorted((a, b) -> b.pathPrefix().length() - a.pathPrefix().length())
                .forEach(r -> hosts.computeIfAbsent(r.host().toLowerCase(Locale.ROOT), h -> new ArrayList<>())
                        .add(r));
        return Map.copyOf(hosts);
    }

    /**
     * The version.
     *
     * @return a version that only grows
     */
    public ConfigVersion version() {
        return version;
    }

    /**
     * All routes.
     *
     * @return routes in order of declaration
     */
    public List<TrafficRoute> routes() {
        return routes;
    }

    /**
     * Limits for callers.
     *
     * @return the limits
     */
    public ClientLimits limits() {
        return limits;
    }

    /**
     * All client accounts.
     *
     * @return the accounts; empty list if requests carry no keys
     */
    public List<AccountPolicy> accounts() {
        return accounts.orElse(List.of());
    }

    /**
     * Tells whether requests need keys at all.
     *
     * @return false if the desired state declares no client accounts
     */
    public boolean hasAccounts() {
        return accounts.isPresent();
    }

    /**
     * Finds a service.
     *
     * @param name its name
     * @return the service, or empty if it is not declared
     */
    public Optional<TrafficService> service(ServiceName name) {
        return Optional.ofNullable(services.get(name));
    }

    /**
     * Finds the route of a request: its host's route with the longest prefix of the path.
     *
     * @param host value of the Host header, with or without port
     * @param path path without the query
     * @return the route, or empty if none matches
     */
    public Optional<TrafficRoute> route(String host, String path) {
        int colon = host.indexOf(':');
        String name = (colon < 0 ? host : host.substring(0, colon)).toLowerCase(Locale.ROOT);
        for (TrafficRoute r : byHost.getOrDefault(name, List.of())) {
            if (path.startsWith(r.pathPrefix())) {
                return Optional.of(r);
            }
        }
        return Optional.empty();
    }

    /**
     * Finds the client account of a key.
     *
     * @param key the key as the caller sent it
     * @return the account, or empty if the key is not valid
     */
    public Optional<AccountPolicy> account(String key) {
        return Optional.ofNullable(byKey.get(key));
    }
}
