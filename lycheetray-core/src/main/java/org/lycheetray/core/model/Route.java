package org.lycheetray.core.model;

/**
 * Maps requests to a service.
 *
 * @param host value of the Host header without port, or {@code *} for any
 * @param pathPrefix path prefix that starts with a slash; the longest match wins
 * @param service service that runs the requests
 * @param routeClass how failures of its requests are treated
 * @param open true if callers need no key
 */
public record Route(String host, String pathPrefix, ServiceName service, RouteClass routeClass, boolean open) {
    /** Host value that matches every request. */
    public static final String ANY_HOST = "*";
}
