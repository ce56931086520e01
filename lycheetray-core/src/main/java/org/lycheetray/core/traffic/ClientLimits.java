package org.lycheetray.core.traffic;

import java.time.Duration;

/**
 * Limits on what a caller may send and how long it may take.
 *
 * @param headerBytes largest head of a request, in bytes
 * @param bodyBytes largest body of a request, in bytes
 * @param headerTimeout longest time from the first byte of a head to its last
 * @param idleTimeout longest time that a connection may stay without a request
 */
public record ClientLimits(int headerBytes, long bodyBytes, Duration headerTimeout, Duration idleTimeout) {
    /** Limits that hold until a configuration is known. */
    public static final ClientLimits INITIAL =
            new ClientLimits(16 * 1024, 64L << 20, Duration.ofSeconds(3), Duration.ofSeconds(15));
}
