package org.lycheetray.core.placement.internal;

import java.time.Duration;
import java.util.Optional;
import org.lycheetray.core.allowance.ColdAllowance;
import org.lycheetray.core.model.RegionName;
import org.lycheetray.core.placement.AttemptEnd;
import org.lycheetray.core.placement.ReportedLoad;
import org.lycheetray.core.registry.RegisteredServer;
import org.lycheetray.core.time.MonotonicTime;

/** What this VM knows of one backend server. */
public final class ServerState {
    /** Weight of a new sample in moving averages; a handful of answers outweigh the past. */
    private static final double SAMPLE = 0.25;

    /** Weight of a new work time, which varies more than other samples. */
    private static final double PACE_SAMPLE = 0.1;

    /** Times the usual work of its service after which a told load says nothing: a queue's worth of requests. */
    private static final double LOAD_FADES = 8;

    /** First pause after a server could not be used; it doubles with each further failure. */
    private static final Duration FIRST_PAUSE = Duration.ofMillis(500);

    private static final Duration LONGEST_PAUSE = Duration.ofSeconds(4);

    /** Failure share from which a server is avoided, well above the errors of a healthy one. */
    private static final double FAILING = 0.35;

    /** Pause of a server that fails a large part of its requests. */
    private static final Duration FAILING_PAUSE = Duration.ofSeconds(2);

    /** Pause after a server said that it has no room. */
    private static final Duration SHED_PAUSE = Duration.ofMillis(150);

    /** Bounds of the factor by which a server is slower than its service's usual. */
    private static final double FASTEST = 0.5;

    private static final double SLOWEST = 20;

    /** Time after which a slow server is given the benefit of the doubt again. */
    private static final Duration SLOWNESS_FADES = Duration.ofSeconds(4);

    private RegisteredServer server;
    private final RegionName region;
    private final WarmObjects warm = new WarmObjects();
    private final ColdAllowance coldAllowance;
    private MonotonicTime coldUntil;
    private MonotonicTime suspectUntil;
    private int inFlight;
    private double others;
    private MonotonicTime othersAt;
    private double othersFadeNanos = 1;
    private double failures;
    private int failuresInRow;
    private MonotonicTime pausedUntil;
    private double slowness = 1;
    private MonotonicTime slownessAt;

    /**
     * Creates the state of a server that was just learnt.
     *
     * @param server what it says of itself
     * @param region region it stands in
     * @param now present time
     */
    public ServerState(RegisteredServer server, RegionName region, MonotonicTime now) {
        this.server = server;
        this.region = region;
        this.coldAllowance = new ColdAllowance(now);
        this.coldUntil = now.plus(server.coldRemaining());
        this.suspectUntil = now;
        this.othersAt = now;
        this.pausedUntil = now;
        this.slownessAt = now;
    }

    /**
     * Takes a new entry of the same life.
     *
     * @param entry what it says now
     * @param now present time
     */
    public void update(RegisteredServer entry, MonotonicTime now) {
        if (entry.coldRemaining().compareTo(server.coldRemaining()) > 0) {
            warm.clear();
        }
        server = entry;
        coldUntil = now.plus(entry.coldRemaining());
    }

    /**
     * The server.
     *
     * @return what it last said
     */
    public RegisteredServer server() {
        return server;
    }

    /**
     * The region it stands in.
     *
     * @return the region
     */
    public RegionName region() {
        return region;
    }

    /**
     * Tells whether it is cold.
     *
     * @param now present time
     * @return true while it tolerates few requests
     */
    public boolean isCold(MonotonicTime now) {
        return now.isBefore(coldUntil);
    }

    /**
     * Tells whether it may be cold although its entry does not say so.
     *
     * @param now present time
     * @return true if it may just have started anew
     */
    public boolean isSuspect(MonotonicTime now) {
        return now.isBefore(suspectUntil);
    }

    /**
     * Notes a sign that it may just have started anew.
     *
     * @param until how long it may then be cold
     */
    public void suspect(MonotonicTime until) {
        suspectUntil = suspectUntil.isBefore(until) ? until : suspectUntil;
    }

    /**
     * Forgets the signs that it may have started anew.
     *
     * @param now present time
     */
    public void trust(MonotonicTime now) {
        suspectUntil = now;
    }

    /**
     * Its allowance while it is cold.
     *
     * @return the allowance
     */
    public ColdAllowance coldAllowance() {
        return coldAllowance;
    }

    /**
     * Tells whether recent failures keep it out of use for a moment.
     *
     * @param now present time
     * @return true if it should be left alone
     */
    public boolean isPaused(MonotonicTime now) {
        return now.isBefore(pausedUntil);
    }

    /**
     * Requests that it has in all, as far as is known.
     *
     * @param now present time
     * @return own requests and an estimate of the others'
     */
    public double load(MonotonicTime now) {
        return inFlight + others(now);
    }

    /**
     * How much slower than usual it works.
     *
     * @param now present time
     * @return 1 for the usual speed
     */
    public double slowness(MonotonicTime now) {
        double age = (double) now.since(slownessAt).toNanos() / SLOWNESS_FADES.toNanos();
        return 1 + (slowness - 1) * Math.max(0, 1 - age);
    }

    /**
     * Tells whether it has handled an object lately.
     *
     * @param object the object
     * @return true if this VM sent it there
     */
    public boolean isWarm(String object) {
        return warm.contains(object);
    }

    /** Counts a request that is sent. */
    public void started() {
        inFlight++;
    }

    /**
     * Notes that an object was handled.
     *
     * @param object the object
     */
    public void handled(String object) {
        warm.add(object);
    }

    /**
     * Takes the load that came with an answer.
     *
     * @param load the load
     * @param usualNanos usual work of a request of its service, nanoseconds
     * @param now present time
     */
    public void reported(ReportedLoad load, double usualNanos, MonotonicTime now) {
        double sample = Math.max(0, load.running() + load.waiting() - inFlight);
        others = (others(now) + sample) / 2;
        othersAt = now;
        othersFadeNanos = LOAD_FADES * usualNanos;
    }

    private double others(MonotonicTime now) {
        return others * Math.max(0, 1 - now.since(othersAt).toNanos() / othersFadeNanos);
    }

    /**
     * Counts the end of an attempt.
     *
     * @param end how it ended
     * @param expected usual time of such a request at an unloaded server; empty if nothing follows from its time
     * @param now present time
     */
    public void ended(AttemptEnd end, Optional<Duration> expected, MonotonicTime now) {
        inFlight = Math.max(0, inFlight - 1);
        switch (end) {
            case AttemptEnd.Answered a -> {
                well();
                expected.ifPresent(e -> pace(a.took(), e, now));
            }
            case AttemptEnd.Failed f -> failing(now);
            case AttemptEnd.Shed s -> pause(SHED_PAUSE, now);
            case AttemptEnd.Misdirected m -> pause(LONGEST_PAUSE, now);
            case AttemptEnd.Unreachable u -> failedOnce(now);
            case AttemptEnd.Broken b -> {
                failing(now);
                failedOnce(now);
            }
            case AttemptEnd.GivenUp g ->
                expected.filter(e -> e.compareTo(g.waited()) < 0).ifPresent(e -> pace(g.waited(), e, now));
        }
    }

    private void well() {
        failures *= 1 - SAMPLE;
        failuresInRow = 0;
    }

    private void failing(MonotonicTime now) {
        failures += SAMPLE * (1 - failures);
        if (failures > FAILING) {
            pause(FAILING_PAUSE, now);
        }
    }

    private void failedOnce(MonotonicTime now) {
        failuresInRow++;
        long factor = 1L << Math.min(failuresInRow - 1, 4);
        Duration d = FIRST_PAUSE.multipliedBy(factor);
        pause(d.compareTo(LONGEST_PAUSE) < 0 ? d : LONGEST_PAUSE, now);
    }

    private void pause(Duration d, MonotonicTime now) {
        MonotonicTime until = now.plus(d);
        pausedUntil = pausedUntil.isBefore(until) ? until : pausedUntil;
    }

    private void pace(Duration took, Duration expected, MonotonicTime now) {
        double ratio = Math.clamp((double) took.toNanos() / Math.max(1, expected.toNanos()), FASTEST, SLOWEST);
        slowness = slowness(now) + PACE_SAMPLE * (ratio - slowness(now));
        slownessAt = now;
    }
}
