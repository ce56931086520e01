package org.lycheetray.core.traffic;

import java.time.Duration;

/**
 * Size limits and timeouts for requests and connections of callers.
 *
 * @param maxHeaderBytes maximum size of the request line and headers, in bytes
 * @param maxBodyBytes maximum size of a request body, in bytes
 * @param headerTimeout maximum time between the first and the last byte of the request headers
 * @param idleTimeout maximum time that a connection may stay idle between requests
 */
public record ClientLimits(int maxHeaderBytes, long maxBodyBytes, Duration headerTimeout, Duration idleTimeout) {
    /** Limits that apply until the first configuration is received. */
    public static final ClientLimits INITIAL =
            new ClientLimits(16 * 1024, 64L << 20, Duration.ofSeconds(3), Duration.ofSeconds(15));
}
