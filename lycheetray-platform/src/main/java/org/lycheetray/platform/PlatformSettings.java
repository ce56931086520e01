package org.lycheetray.platform;

import java.net.URI;
import java.time.Duration;

/** Settings of a {@link PlatformClient}; not safe for use by several threads. */
public final class PlatformSettings {
    private final URI url;
    private Duration timeout = Duration.ofSeconds(2);
    private Duration connectTimeout = Duration.ofMillis(500);
    private Duration retryPause = Duration.ofMillis(50);
    private int retries = 2;
    private int connections = 16;

    /**
     * Creates settings with defaults for all but the address.
     *
     * @param url address of the platform, {@code http://host:port}
     * @throws IllegalArgumentException if it has another form
     */
    public PlatformSettings(URI url) {
        if (!"http".equals(url.getScheme()) || url.getHost() == null || url.getPort() < 1) {
            throw new IllegalArgumentException("expected http://host:port for the platform but was " + url);
        }
        this.url = url;
    }

    /**
     * Sets the longest time that one attempt may take, connecting included.
     *
     * @param timeout more than zero
     * @return this
     */
    public PlatformSettings timeout(Duration timeout) {
        this.timeout = requirePositive("timeout", timeout);
        return this;
    }

    /**
     * Sets the longest time that connecting may take.
     *
     * @param connectTimeout more than zero
     * @return this
     */
    public PlatformSettings connectTimeout(Duration connectTimeout) {
        this.connectTimeout = requirePositive("connect timeout", connectTimeout);
        return this;
    }

    /**
     * Sets the pause before the first retry; it doubles from one retry to the next.
     *
     * @param retryPause more than zero
     * @return this
     */
    public PlatformSettings retryPause(Duration retryPause) {
        this.retryPause = requirePositive("retry pause", retryPause);
        return this;
    }

    /**
     * Sets how many times a call that is safe to repeat is repeated.
     *
     * @param retries zero or more
     * @return this
     */
    public PlatformSettings retries(int retries) {
        if (retries < 0) {
            throw new IllegalArgumentException("retries must not be negative: " + retries);
        }
        this.retries = retries;
        return this;
    }

    /**
     * Sets the most connections held open to the platform.
     *
     * @param connections 1 or more
     * @return this
     */
    public PlatformSettings connections(int connections) {
        if (connections < 1) {
            throw new IllegalArgumentException("connections must be at least 1: " + connections);
        }
        this.connections = connections;
        return this;
    }

    /**
     * Gives the platform's address.
     *
     * @return the address
     */
    public URI url() {
        return url;
    }

    /**
     * Gives the longest time of one attempt.
     *
     * @return the time
     */
    public Duration timeout() {
        return timeout;
    }

    /**
     * Gives the longest time for connecting.
     *
     * @return the time
     */
    public Duration connectTimeout() {
        return connectTimeout;
    }

    /**
     * Gives the pause before the first retry.
     *
     * @return the pause
     */
    public Duration retryPause() {
        return retryPause;
    }

    /**
     * Gives the number of retries of a repeatable call.
     *
     * @return the number
     */
    public int retries() {
        return retries;
    }

    /**
     * Gives the most connections held open.
     *
     * @return the number
     */
    public int connections() {
        return connections;
    }

    private static Duration requirePositive(String what, Duration d) {
        if (!d.isPositive()) {
            throw new IllegalArgumentException(what + " must be more than zero: " + d);
        }
        return d;
    }
}
