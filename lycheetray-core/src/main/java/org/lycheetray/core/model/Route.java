package org.lycheetray.core.model;

/**
 * A route, which maps requests to a service by host and path.
 *
 * @param host value of the Host header without the port, or {@code *} for any host
 * @param pathPrefix path prefix that starts with a slash; the longest match wins
 * @param service the service that handles the requests
 * @param routeClass how failed requests are handled
 * @param open true if requests need no client key
 */
public record Route(String host, String pathPrefix, ServiceName service, RouteClass routeClass, boolean open) {
    /** Value of {@code host} that matches any host. */
    public static final String ANY_HOST = "*";
}
