package org.lycheetray.daemon.running;

import java.time.Duration;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.lycheetray.core.health.RetryBudget;
import org.lycheetray.core.model.BackendServer;
import org.lycheetray.core.model.BackendServerName;
import org.lycheetray.core.model.ClientAccountName;
import org.lycheetray.core.model.RequestId;
import org.lycheetray.core.once.FailurePoint;
import org.lycheetray.core.once.PoisonRequestDetector;
import org.lycheetray.core.once.RequestDigest;
import org.lycheetray.core.once.SuspectRecord;
import org.lycheetray.core.time.Clock;
import org.lycheetray.daemon.log.LogEvent;
import org.lycheetray.daemon.request.AttemptGate;
import org.lycheetray.daemon.request.AttemptResult;
import org.lycheetray.daemon.request.Refusal;
import org.lycheetray.daemon.request.RequestContext;
import reactor.core.publisher.Mono;

/**
 * Watches attempts: feeds the health of servers, keeps retries within their budget and finds requests that crash servers.
 *
 * <p>Called on traffic threads. Its own state is small and guarded by one lock, held only for map operations.
 */
public final class WatchedAttempts implements AttemptGate {
    /** Step of an attempt that ended because its caller left. */
    private static final String CANCEL = "cancel";

    /** Longest time for which a caller waits for the fleet to hear of a crash. */
    private static final Duration NEWS_LIMIT = Duration.ofSeconds(2);

    private static final ClientAccountName OPEN_ROUTES = new ClientAccountName("open");

    private final ServerHealth health;
    private final HealthProbe probe;
    private final SuspectExchange exchange;
    private final Clock clock;
    private final PoisonRequestDetector suspects = new PoisonRequestDetector();
    private final RetryBudget budget = new RetryBudget();
    private final Map<BackendServerName, Map<RequestId, RequestDigest>> inFlight = new HashMap<>();
    private final Map<BackendServerName, Set<RequestDigest>> broken = new HashMap<>();
    private final Map<BackendServerName, Mono<Void>> probing = new HashMap<>();
    private long retries;

    /**
     * Creates the gate.
     *
     * @param health takes what attempts show
     * @param probe tells a crash from a broken connection
     * @param exchange passes suspects to and from the fleet
     * @param clock clock of the process
     */
    public WatchedAttempts(ServerHealth health, HealthProbe probe, SuspectExchange exchange, Clock clock) {
        this.health = health;
        this.probe = probe;
        this.exchange = exchange;
        this.clock = clock;
        exchange.listen(this::heard);
    }

    @Override
    public synchronized Optional<Refusal> check(RequestContext request, String digest) {
        budget.recordRequest(request.account().orElse(OPEN_ROUTES));
        return suspects.isQuarantined(new RequestDigest(digest), clock.instant())
                ? Optional.of(Refusal.of(FailurePoint.QUARANTINED, FailurePoint.QUARANTINED.detail()))
                : Optional.empty();
    }

    @Override
    public synchronized boolean mayRetry(RequestContext request, String digest, AttemptResult last) {
        if (suspects.isQuarantined(new RequestDigest(digest), clock.instant())) {
            return false;
        }
        boolean reachedNobody = last instanceof AttemptResult.NotRun n && !n.shed();
        boolean granted = reachedNobody || budget.tryTakeRetry(request.account().orElse(OPEN_ROUTES));
        retries += granted && !reachedNobody ? 1 : 0;
        return granted;
    }

    @Override
    public synchronized Set<BackendServerName> avoid(String digest) {
        if (!suspects.isSuspect(new RequestDigest(digest), clock.instant())) {
            return Set.of();
        }
        Set<BackendServerName> avoided = new HashSet<>();
        inFlight.forEach((server, running) -> {
            if (running.values().stream().anyMatch(d -> suspects.isSuspect(d, clock.instant()))) {
                avoided.add(server);
            }
        });
        return avoided;
    }

    @Override
    public synchronized void started(BackendServer server, RequestContext request, String digest) {
        inFlight.computeIfAbsent(server.name(), s -> new HashMap<>()).put(request.id(), new RequestDigest(digest));
    }

    @Override
    public Mono<Void> ended(BackendServer server, RequestContext request, String digest, AttemptResult result) {
        boolean callerGone =
                result instanceof AttemptResult.Uncertain u && u.step().equals(CANCEL);
        health.observe(server, result, callerGone);
        boolean lost = result instanceof AttemptResult.Uncertain u && !u.timedOut() && !callerGone;
        RequestDigest d = new RequestDigest(digest);
        release(server, request, d, result);
        if (!(result instanceof AttemptResult.Answered)) {
            log(server, request, result);
        }
        return lost ? lost(server, d) : Mono.empty();
    }

    private synchronized void release(
            BackendServer server, RequestContext request, RequestDigest d, AttemptResult result) {
        Optional.ofNullable(inFlight.get(server.name())).ifPresent(m -> m.remove(request.id()));
        if (result instanceof AttemptResult.Answered) {
            suspects.recordAnswer(d, clock.instant()).ifPresent(r -> {
                var _ = exchange.publish(List.of(r)).subscribe();
            });
        }
    }

    /**
     * Counts attempts beyond the first that reached or may have reached a backend server.
     *
     * @return retries since start
     */
    public synchronized long retries() {
        return retries;
    }

    /**
     * Gives the suspects, for operators and for VMs that have just started.
     *
     * @return records that still count
     */
    public synchronized List<SuspectRecord> suspects() {
        suspects.removeExpired(clock.instant());
        return suspects.records();
    }

    private synchronized void heard(Collection<SuspectRecord> records) {
        records.forEach(suspects::merge);
    }

    /** A connection was lost with a request on it: if new ones are refused as well, the server has crashed. */
    private synchronized Mono<Void> lost(BackendServer server, RequestDigest digest) {
        broken.computeIfAbsent(server.name(), s -> new HashSet<>()).add(digest);
        return probing.computeIfAbsent(server.name(), s -> {
            Mono<Void> probed = probe.refusesConnections(server)
                    .flatMap(refused -> probed(server, refused))
                    .timeout(NEWS_LIMIT)
                    .onErrorComplete()
                    .cache();
            var _ = probed.subscribe();
            return probed;
        });
    }

    private synchronized Mono<Void> probed(BackendServer server, boolean refused) {
        probing.remove(server.name());
        Set<RequestDigest> digests = broken.remove(server.name());
        if (!refused) {
            return Mono.empty();
        }
        digests.addAll(inFlight.getOrDefault(server.name(), Map.of()).values());
        LogEvent.of("backend-server-crashed")
                .with("step", "attempt")
                .with("peer", server.name())
                .with("in-flight", digests.size())
                .warn();
        return exchange.publish(suspects.recordCrash(server.name(), digests, clock.instant()));
    }

    private static void log(BackendServer server, RequestContext request, AttemptResult result) {
        LogEvent.of("attempt-failed")
                .with("request", request.id())
                .with("step", "attempt")
                .with("peer", server.name())
                .with("result", result)
                .warn();
    }
}
