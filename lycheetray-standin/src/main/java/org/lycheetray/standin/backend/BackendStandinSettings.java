package org.lycheetray.standin.backend;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import org.lycheetray.core.model.Manifest;
import org.lycheetray.core.model.ServiceName;
import org.lycheetray.core.time.Clock;

/** Settings of a {@link BackendStandinFleet}; not safe for use by several threads. */
public final class BackendStandinSettings {
    private final Manifest manifest;
    private final Clock clock = Clock.system();
    private final Map<ServiceName, Duration> serviceTimes = new HashMap<>();
    private Duration standardTime = Duration.ofMillis(10);
    private Duration restartTime = Duration.ofSeconds(3);
    private long seed = 1;
    private int rememberedRuns = 200_000;

    /**
     * Creates settings with defaults for all but the manifest.
     *
     * @param manifest declares the backend servers to host
     */
    public BackendStandinSettings(Manifest manifest) {
        this.manifest = manifest;
    }

    /**
     * Sets the mean time of a run of one service.
     *
     * @param service the service
     * @param time zero or more
     * @return this
     */
    public BackendStandinSettings serviceTime(ServiceName service, Duration time) {
        serviceTimes.put(service, requireNotNegative("service time", time));
        return this;
    }

    /**
     * Sets the mean time of a run of all other services.
     *
     * @param time zero or more
     * @return this
     */
    public BackendStandinSettings standardTime(Duration time) {
        standardTime = requireNotNegative("service time", time);
        return this;
    }

    /**
     * Sets how long a crashed server refuses connections.
     *
     * @param time zero or more
     * @return this
     */
    public BackendStandinSettings restartTime(Duration time) {
        restartTime = requireNotNegative("restart time", time);
        return this;
    }

    /**
     * Sets how many of the latest runs are remembered.
     *
     * @param runs 1 or more
     * @return this
     */
    public BackendStandinSettings rememberedRuns(int runs) {
        if (runs < 1) {
            throw new IllegalArgumentException("remembered runs must be at least 1: " + runs);
        }
        rememberedRuns = runs;
        return this;
    }

    /**
     * Sets the seed of the service times.
     *
     * @param seed any number
     * @return this
     */
    public BackendStandinSettings seed(long seed) {
        this.seed = seed;
        return this;
    }

    Manifest manifest() {
        return manifest;
    }

    Clock clock() {
        return clock;
    }

    Duration restartTime() {
        return restartTime;
    }

    int rememberedRuns() {
        return rememberedRuns;
    }

    ServiceTimes serviceTimes() {
        return new ServiceTimes(serviceTimes, standardTime, seed);
    }

    private static Duration requireNotNegative(String what, Duration d) {
        if (d.isNegative()) {
            throw new IllegalArgumentException(what + " must not be negative: " + d);
        }
        return d;
    }
}
