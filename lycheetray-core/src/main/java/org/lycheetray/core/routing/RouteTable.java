package org.lycheetray.core.routing;

import java.util.Comparator;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import org.lycheetray.core.model.Route;

/**
 * Finds the route of a request. An exact host takes precedence over the wildcard host; then the longest path prefix
 * wins.
 *
 * <p>A prefix matches only whole path segments: {@code /order} matches {@code /order} and {@code /order/1}, not
 * {@code /orders}.
 */
public final class RouteTable {
    private static final Comparator<Route> ORDER = Comparator.comparingInt(
                    (Route r) -> r.host().equals(Route.ANY_HOST) ? 1 : 0)
            .thenComparingInt(r -> -r.pathPrefix().length());

    private final List<Route> ordered;

    /**
     * Creates a route table.
     *
     * @param routes the routes, in any order
     */
    public RouteTable(List<Route> routes) {
        this.ordered = routes.stream().sorted(ORDER).toList();
    }

    /**
     * Finds the route of a request.
     *
     * @param host value of the Host header, with or without a port; may be empty
     * @param path path without the query
     * @return the route, or empty if none matches
     */
    public Optional<Route> find(String host, String path) {
        String name = withoutPort(host).toLowerCase(Locale.ROOT);
        return ordered.stream()
                .filter(r -> matchesHost(r, name) && matchesPath(r, path))
                .findFirst();
    }

    private static boolean matchesHost(Route r, String host) {
        return r.host().equals(Route.ANY_HOST) || r.host().equalsIgnoreCase(host);
    }

    private static boolean matchesPath(Route r, String path) {
        String prefix = r.pathPrefix();
        if (!path.startsWith(prefix)) {
            return false;
        }
        return prefix.endsWith("/") || path.length() == prefix.length() || path.charAt(prefix.length()) == '/';
    }

    private static String withoutPort(String host) {
        int colon = host.lastIndexOf(':');
        boolean port = colon >= 0 && host.indexOf(']', colon) < 0;
        return port ? host.substring(0, colon) : host;
    }
}
