package org.lycheetray.core.traffic;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import org.lycheetray.core.model.ConfigVersion;
import org.lycheetray.core.model.ServiceName;

/** One complete, consistent version of the traffic configuration, indexed for request processing. */
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
     * @param version version of the configuration
     * @param routes the routes, in any order
     * @param services the services, with unique names
     * @param limits limits for requests of callers
     * @param accounts client accounts; empty if requests need no API keys
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
     * Returns the version of the configuration.
     *
     * @return the version, which never decreases
     */
    public ConfigVersion version() {
        return version;
    }

    /**
     * Returns all routes.
     *
     * @return the routes in order of declaration
     */
    public List<TrafficRoute> routes() {
        return routes;
    }

    /**
     * Returns the limits for requests of callers.
     *
     * @return the limits
     */
    public ClientLimits limits() {
        return limits;
    }

    /**
     * Returns all client accounts.
     *
     * @return the accounts; an empty list if requests need no API keys
     */
    public List<AccountPolicy> accounts() {
        return accounts.orElse(List.of());
    }

    /**
     * Returns whether requests need API keys.
     *
     * @return false if the configuration declares no client accounts
     */
    public boolean hasAccounts() {
        return accounts.isPresent();
    }

    /**
     * Returns the service with a name.
     *
     * @param name name of the service
     * @return the service, or empty if it is not declared
     */
    public Optional<TrafficService> service(ServiceName name) {
        return Optional.ofNullable(services.get(name));
    }

    /**
     * Returns the route of a request: among the routes of its host, the one with the longest matching path prefix.
     *
     * @param host value of the Host header, with or without a port
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
     * Returns the client account of an API key.
     *
     * @param key the API key as sent by the caller
     * @return the account, or empty if the key is not valid
     */
    public Optional<AccountPolicy> account(String key) {
        return Optional.ofNullable(byKey.get(key));
    }
}
