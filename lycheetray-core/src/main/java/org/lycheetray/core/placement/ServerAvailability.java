package org.lycheetray.core.placement;

import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.random.RandomGenerator;
import org.lycheetray.core.model.BackendServerName;
import org.lycheetray.core.registry.RegisteredServer;
import org.lycheetray.core.time.DurationUtil;
import org.lycheetray.core.time.MonotonicTime;

/**
 * The backend servers that have said in an answer that they accept no requests, for good or for some time.
 *
 * <p>A statement holds for the incarnation of the server that made it, whatever its registry entry says: the entry follows
 * later, may come from an older copy of the store, or may disappear and reappear. After a pause a server receives requests
 * at an interval until it has answered one. Not thread-safe.
 */
public final class ServerAvailability {
    /** Longest pause that a server may request; it is asked again after that time. */
    private static final Duration MAX_PAUSE = Duration.ofMinutes(10);

    /** Fraction of a pause by which it is extended at most, at random, so that the VMs do not return together. */
    private static final double SPREAD = 0.25;

    /** Upper bound of the extension of a pause. */
    private static final Duration MAX_SPREAD = Duration.ofSeconds(1);

    /** Interval of the requests that a server receives after a pause until it has answered one. */
    private static final Duration TRIAL_INTERVAL = Duration.ofMillis(500);

    /** Maximum number of servers; the one with the earliest statement is forgotten first. */
    private static final int MAX_SERVERS = 10_000;

    private final RandomGenerator random;
    private final Map<BackendServerName, Statements> entries = new LinkedHashMap<>() {
        private static final long serialVersionUID = 1;

        @Override
        protected boolean removeEldestEntry(Map.Entry<BackendServerName, Statements> eldest) {
            return size() > MAX_SERVERS;
        }
    };

    /** The statements of one incarnation of a server. */
    private static final class Statements {
        private final long incarnation;
        private boolean leaving;
        private Optional<MonotonicTime> pausedUntil = Optional.empty();
        private boolean onTrial;
        private Optional<MonotonicTime> lastTrial = Optional.empty();

        Statements(long incarnation) {
            this.incarnation = incarnation;
        }

        boolean isPaused(MonotonicTime now) {
            return pausedUntil.filter(now::isBefore).isPresent();
        }

        boolean awaitsTrial(MonotonicTime now) {
            return onTrial
                    && lastTrial
                            .filter(t -> now.since(t).compareTo(TRIAL_INTERVAL) < 0)
                            .isPresent();
        }
    }

    /**
     * Creates an instance in which all servers accept requests.
     *
     * @param random source of randomness for spreading the ends of pauses
     */
    public ServerAvailability(RandomGenerator random) {
        this.random = random;
    }

    /**
     * Applies the statement of a server.
     *
     * @param server the server
     * @param statement the statement
     * @param now current time
     * @return true if the server accepted requests before, as far as known
     */
    public boolean record(RegisteredServer server, AvailabilityStatement statement, MonotonicTime now) {
        Statements known = entries.get(server.name());
        if (known != null && known.incarnation > server.incarnation()) {
            return false;
        }
        Statements e = known;
        if (known == null || known.incarnation < server.incarnation()) {
            e = new Statements(server.incarnation());
            entries.remove(server.name());
            entries.put(server.name(), e);
        }
        boolean accepted = !e.leaving && e.pausedUntil.isEmpty();
        switch (statement) {
            case AvailabilityStatement.Leaving l -> e.leaving = true;
            case AvailabilityStatement.Paused p -> pause(e, p.duration(), now);
        }
        return accepted;
    }

    private void pause(Statements e, Duration requested, MonotonicTime now) {
        Duration d = DurationUtil.shorter(requested, MAX_PAUSE);
        Duration spread = DurationUtil.shorter(DurationUtil.scaled(d, SPREAD), MAX_SPREAD);
        MonotonicTime until = now.plus(d).plus(DurationUtil.scaled(spread, random.nextDouble()));
        e.pausedUntil = Optional.of(e.pausedUntil.filter(t -> until.isBefore(t)).orElse(until));
        e.onTrial = true;
        e.lastTrial = Optional.empty();
    }

    private Optional<Statements> entry(RegisteredServer server) {
        return Optional.ofNullable(entries.get(server.name())).filter(e -> e.incarnation == server.incarnation());
    }

    /**
     * Returns whether a server has announced its leaving.
     *
     * @param server the server
     * @return true if this incarnation receives no further requests
     */
    public boolean isLeaving(RegisteredServer server) {
        return entry(server).filter(e -> e.leaving).isPresent();
    }

    /**
     * Returns the end of the pause of a server.
     *
     * @param server the server
     * @param now current time
     * @return the end, or empty if the server is not paused
     */
    public Optional<MonotonicTime> pausedUntil(RegisteredServer server, MonotonicTime now) {
        return entry(server).filter(e -> e.isPaused(now)).flatMap(e -> e.pausedUntil);
    }

    /**
     * Returns whether a server may receive a request.
     *
     * @param server the server
     * @param now current time
     * @return false while it leaves or is paused, and after a pause shortly after a request that it has not answered
     */
    public boolean accepts(RegisteredServer server, MonotonicTime now) {
        return entry(server)
                .filter(e -> e.leaving || e.isPaused(now) || e.awaitsTrial(now))
                .isEmpty();
    }

    /**
     * Records that a request was sent to a server.
     *
     * @param server the server
     * @param now current time
     */
    public void recordSent(RegisteredServer server, MonotonicTime now) {
        entry(server).filter(e -> e.onTrial).ifPresent(e -> e.lastTrial = Optional.of(now));
    }

    /**
     * Records that a server has answered a request, which ends the restriction after a pause.
     *
     * @param server the server
     * @param now current time
     */
    public void recordAnswered(RegisteredServer server, MonotonicTime now) {
        entry(server).ifPresent(e -> e.onTrial &= e.isPaused(now));
    }

    /**
     * Returns the servers whose pauses have ended since the last call.
     *
     * @param now current time
     * @return names of the servers
     */
    public List<BackendServerName> takeEndedPauses(MonotonicTime now) {
        List<BackendServerName> ended = entries.entrySet().stream()
                .filter(e ->
                        e.getValue().pausedUntil.isPresent() && !e.getValue().isPaused(now))
                .map(Map.Entry::getKey)
                .toList();
        ended.forEach(n -> entries.get(n).pausedUntil = Optional.empty());
        return ended;
    }

    /**
     * Returns the number of paused servers.
     *
     * @param now current time
     * @return number of servers that refuse requests of this VM for some time
     */
    public int pausedCount(MonotonicTime now) {
        return (int) entries.values().stream().filter(e -> e.isPaused(now)).count();
    }
}
