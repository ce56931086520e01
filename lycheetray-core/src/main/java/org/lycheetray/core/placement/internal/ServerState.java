package org.lycheetray.core.placement.internal;

import java.time.Duration;
import java.util.Optional;
import org.lycheetray.core.allowance.ServerRateBucket;
import org.lycheetray.core.model.RegionName;
import org.lycheetray.core.placement.AttemptOutcome;
import org.lycheetray.core.placement.ReportedLoad;
import org.lycheetray.core.registry.RegisteredServer;
import org.lycheetray.core.time.MonotonicTime;

/** Load, health and cache state of one backend server, as known to this VM. */
public final class ServerState {
    /** Smoothing factor of the failure share; a handful of responses outweighs earlier ones. */
    private static final double FAILURE_SMOOTHING = 0.25;

    /** Smoothing factor of the slowness; lower, because processing times vary more than other samples. */
    private static final double SLOWNESS_SMOOTHING = 0.1;

    /**
     * Multiple of the mean processing time of the service after which a reported load has decayed to zero: about the
     * time in which a server works off its queue.
     */
    private static final double LOAD_DECAY_FACTOR = 8;

    /** Pause after the first connection failure; it doubles with each consecutive failure. */
    private static final Duration FIRST_PAUSE = Duration.ofMillis(500);

    private static final Duration MAX_PAUSE = Duration.ofSeconds(4);

    /** Failure share above which a server is paused, well above the error rate of a healthy server. */
    private static final double MAX_FAILURE_SHARE = 0.35;

    /** Pause after the failure share exceeded its maximum. */
    private static final Duration FAILURE_SHARE_PAUSE = Duration.ofSeconds(2);

    /** Pause after a server shed a request. */
    private static final Duration SHED_PAUSE = Duration.ofMillis(150);

    /** Lower bound of one slowness sample. */
    private static final double MIN_SLOWNESS = 0.5;

    /** Upper bound of one slowness sample. */
    private static final double MAX_SLOWNESS = 20;

    /** Time without samples after which a server is considered to have average speed again. */
    private static final Duration SLOWNESS_DECAY = Duration.ofSeconds(4);

    private RegisteredServer server;
    private final RegionName region;
    private final CachedObjects cachedObjects = new CachedObjects();
    private final ServerRateBucket coldRate = new ServerRateBucket();
    private final ServerRateBucket limitRate = new ServerRateBucket();
    private MonotonicTime coldUntil;
    private MonotonicTime suspectedColdUntil;
    private int inFlight;
    private double otherLoad;
    private MonotonicTime otherLoadAt;
    private double otherLoadDecayNanos = 1;
    private double failureShare;
    private int consecutiveFailures;
    private MonotonicTime pausedUntil;
    private double slowness = 1;
    private MonotonicTime slownessAt;

    /**
     * Creates the state of a newly registered server.
     *
     * @param server registry entry of the server
     * @param region region of the server
     * @param now current time
     */
    public ServerState(RegisteredServer server, RegionName region, MonotonicTime now) {
        this.server = server;
        this.region = region;
        this.coldUntil = now.plus(server.coldRemaining());
        this.suspectedColdUntil = now;
        this.otherLoadAt = now;
        this.pausedUntil = now;
        this.slownessAt = now;
    }

    /**
     * Applies an updated registry entry of the same incarnation.
     *
     * @param entry the new entry
     * @param now current time
     */
    public void update(RegisteredServer entry, MonotonicTime now) {
        if (entry.coldRemaining().compareTo(server.coldRemaining()) > 0) {
            cachedObjects.clear();
        }
        server = entry;
        coldUntil = now.plus(entry.coldRemaining());
    }

    /**
     * Returns the latest registry entry of the server.
     *
     * @return the entry
     */
    public RegisteredServer server() {
        return server;
    }

    /**
     * Returns the region of the server.
     *
     * @return the region
     */
    public RegionName region() {
        return region;
    }

    /**
     * Returns whether the server is cold according to its registry entry.
     *
     * @param now current time
     * @return true while the rate limit of cold servers applies
     */
    public boolean isCold(MonotonicTime now) {
        return now.isBefore(coldUntil);
    }

    /**
     * Returns whether the server may be cold although its registry entry does not say so.
     *
     * @param now current time
     * @return true if a recent restart is suspected
     */
    public boolean isSuspectedCold(MonotonicTime now) {
        return now.isBefore(suspectedColdUntil);
    }

    /**
     * Records a suspected restart of the server.
     *
     * @param until time until which the server may be cold
     */
    public void suspectCold(MonotonicTime until) {
        suspectedColdUntil = suspectedColdUntil.isBefore(until) ? until : suspectedColdUntil;
    }

    /**
     * Clears the suspicion that the server has restarted.
     *
     * @param now current time
     */
    public void clearSuspicion(MonotonicTime now) {
        suspectedColdUntil = now;
    }

    /**
     * Forgets failures and suspicions that may be due to the path to the server.
     *
     * @param now current time
     */
    public void clearFaults(MonotonicTime now) {
        clearSuspicion(now);
        pausedUntil = now;
        consecutiveFailures = 0;
        failureShare = 0;
    }

    /**
     * Returns the bucket of this VM's share of the rate that the server accepts while it is cold.
     *
     * @return the bucket
     */
    public ServerRateBucket coldRate() {
        return coldRate;
    }

    /**
     * Returns the bucket of this VM's share of the rate to which the server has limited the fleet.
     *
     * @return the bucket
     */
    public ServerRateBucket limitRate() {
        return limitRate;
    }

    /**
     * Returns whether the server is paused after failures or shed requests.
     *
     * @param now current time
     * @return true if it must not receive requests
     */
    public boolean isPaused(MonotonicTime now) {
        return now.isBefore(pausedUntil);
    }

    /**
     * Returns the estimated number of requests at the server.
     *
     * @param now current time
     * @return requests in flight from this VM plus the estimated requests of other callers
     */
    public double load(MonotonicTime now) {
        return inFlight + otherLoad(now);
    }

    /**
     * Returns the factor by which the server is slower than the average of its service.
     *
     * @param now current time
     * @return the factor; 1 for average speed
     */
    public double slowness(MonotonicTime now) {
        double age = (double) now.since(slownessAt).toNanos() / SLOWNESS_DECAY.toNanos();
        return 1 + (slowness - 1) * Math.max(0, 1 - age);
    }

    /**
     * Returns whether the server probably has an object cached.
     *
     * @param object key of the object
     * @return true if this VM recently sent a request for the object there
     */
    public boolean hasCached(String object) {
        return cachedObjects.contains(object);
    }

    /** Records that a request was sent to the server. */
    public void recordStart() {
        inFlight++;
    }

    /**
     * Records that a request for an object was sent to the server.
     *
     * @param object key of the object
     */
    public void addCachedObject(String object) {
        cachedObjects.add(object);
    }

    /**
     * Applies the load that the server reported with a response.
     *
     * @param load the reported load
     * @param meanWorkNanos mean processing time of the requests of its service, in nanoseconds
     * @param now current time
     */
    public void updateReportedLoad(ReportedLoad load, double meanWorkNanos, MonotonicTime now) {
        double sample = Math.max(0, (double) load.running() + load.waiting() - inFlight);
        otherLoad = (otherLoad(now) + sample) / 2;
        otherLoadAt = now;
        otherLoadDecayNanos = LOAD_DECAY_FACTOR * meanWorkNanos;
    }

    private double otherLoad(MonotonicTime now) {
        return otherLoad * Math.max(0, 1 - now.since(otherLoadAt).toNanos() / otherLoadDecayNanos);
    }

    /**
     * Records the outcome of an attempt.
     *
     * @param outcome the outcome
     * @param expected expected processing time at an unloaded server; empty if the duration must not affect the
     *     slowness
     * @param now current time
     */
    public void recordEnd(AttemptOutcome outcome, Optional<Duration> expected, MonotonicTime now) {
        inFlight = Math.max(0, inFlight - 1);
        switch (outcome) {
            case AttemptOutcome.Answered a -> {
                recordSuccess();
                expected.ifPresent(e -> updateSlowness(a.took(), e, now));
            }
            case AttemptOutcome.ServerError f -> recordFailure(now);
            case AttemptOutcome.Shed s -> pause(SHED_PAUSE, now);
            case AttemptOutcome.Misdirected m -> pause(MAX_PAUSE, now);
            case AttemptOutcome.Unreachable u -> pauseWithBackoff(now);
            case AttemptOutcome.PathLost p -> {}
            case AttemptOutcome.ConnectionLost b -> {
                recordFailure(now);
                pauseWithBackoff(now);
            }
            case AttemptOutcome.Cancelled g ->
                expected.filter(e -> e.compareTo(g.waited()) < 0).ifPresent(e -> updateSlowness(g.waited(), e, now));
        }
    }

    private void recordSuccess() {
        failureShare *= 1 - FAILURE_SMOOTHING;
        consecutiveFailures = 0;
    }

    private void recordFailure(MonotonicTime now) {
        failureShare += FAILURE_SMOOTHING * (1 - failureShare);
        if (failureShare > MAX_FAILURE_SHARE) {
            pause(FAILURE_SHARE_PAUSE, now);
        }
    }

    private void pauseWithBackoff(MonotonicTime now) {
        consecutiveFailures++;
        long factor = 1L << Math.min(consecutiveFailures - 1, 4);
        Duration d = FIRST_PAUSE.multipliedBy(factor);
        pause(d.compareTo(MAX_PAUSE) < 0 ? d : MAX_PAUSE, now);
    }

    private void pause(Duration d, MonotonicTime now) {
        MonotonicTime until = now.plus(d);
        pausedUntil = pausedUntil.isBefore(until) ? until : pausedUntil;
    }

    private void updateSlowness(Duration took, Duration expected, MonotonicTime now) {
        double ratio =
                Math.clamp((double) took.toNanos() / Math.max(1, expected.toNanos()), MIN_SLOWNESS, MAX_SLOWNESS);
        slowness = slowness(now) + SLOWNESS_SMOOTHING * (ratio - slowness(now));
        slownessAt = now;
    }
}
