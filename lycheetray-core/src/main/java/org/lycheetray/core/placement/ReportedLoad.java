package org.lycheetray.core.placement;

/**
 * Total load of a backend server, as it reports it with a response.
 *
 * @param running number of requests being processed
 * @param waiting number of queued requests
 * @param slots maximum number of requests processed concurrently
 */
public record ReportedLoad(int running, int waiting, int slots) {}
