package org.lycheetray.platform;

import java.net.URI;
import java.time.Duration;

/** Settings of a {@link PlatformClient}. Not thread-safe. */
public final class PlatformSettings {
    private final URI url;
    private Duration timeout = Duration.ofSeconds(2);
    private Duration connectTimeout = Duration.ofMillis(500);
    private Duration retryPause = Duration.ofMillis(50);
    private int retries = 2;
    private int connections = 16;

    /**
     * Creates settings with defaults for everything except the address.
     *
     * @param url address of the platform, {@code http://host:port}
     * @throws IllegalArgumentException if the address does not have this form
     */
    public PlatformSettings(URI url) {
        if (!"http".equals(url.getScheme()) || url.getHost() == null || url.getPort() < 1) {
            throw new IllegalArgumentException("expected http://host:port for the platform but was " + url);
        }
        this.url = url;
    }

    /**
     * Sets the timeout of one attempt, including connecting.
     *
     * @param timeout more than zero
     * @return these settings
     */
    public PlatformSettings timeout(Duration timeout) {
        this.timeout = requirePositive("timeout", timeout);
        return this;
    }

    /**
     * Sets the connect timeout.
     *
     * @param connectTimeout more than zero
     * @return these settings
     */
    public PlatformSettings connectTimeout(Duration connectTimeout) {
        this.connectTimeout = requirePositive("connect timeout", connectTimeout);
        return this;
    }

    /**
     * Sets the delay before the first retry; the delay doubles with each retry.
     *
     * @param retryPause more than zero
     * @return these settings
     */
    public PlatformSettings retryPause(Duration retryPause) {
        this.retryPause = requirePositive("retry pause", retryPause);
        return this;
    }

    /**
     * Sets the maximum number of retries of a call that is safe to repeat.
     *
     * @param retries zero or more
     * @return these settings
     */
    public PlatformSettings retries(int retries) {
        if (retries < 0) {
            throw new IllegalArgumentException("retries must not be negative: " + retries);
        }
        this.retries = retries;
        return this;
    }

    /**
     * Sets the maximum number of pooled connections to the platform.
     *
     * @param connections 1 or more
     * @return these settings
     */
    public PlatformSettings connections(int connections) {
        if (connections < 1) {
            throw new IllegalArgumentException("connections must be at least 1: " + connections);
        }
        this.connections = connections;
        return this;
    }

    /**
     * Returns the platform's address.
     *
     * @return the address
     */
    public URI url() {
        return url;
    }

    /**
     * Returns the timeout of one attempt, including connecting.
     *
     * @return the timeout
     */
    public Duration timeout() {
        return timeout;
    }

    /**
     * Returns the connect timeout.
     *
     * @return the timeout
     */
    public Duration connectTimeout() {
        return connectTimeout;
    }

    /**
     * Returns the delay before the first retry.
     *
     * @return the delay
     */
    public Duration retryPause() {
        return retryPause;
    }

    /**
     * Returns the maximum number of retries of a call that is safe to repeat.
     *
     * @return the number
     */
    public int retries() {
        return retries;
    }

    /**
     * Returns the maximum number of pooled connections.
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
