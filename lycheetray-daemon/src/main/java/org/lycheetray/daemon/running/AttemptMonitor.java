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
 * Monitors attempts: reports their results to {@link ServerHealth}, enforces the retry budget and detects requests that
 * crash servers.
 *
 * <p>It is called on the threads that handle requests. One lock guards its state and is held only for map operations.
 */
public final class AttemptMonitor implements AttemptGate {
    /** Step of an attempt that ended because its caller disconnected. */
    private static final String CANCEL = "cancel";

    /** Maximum time for which a response is delayed until a crash is reported to the other VMs. */
    private static final Duration CRASH_REPORT_TIMEOUT = Duration.ofSeconds(2);

    /** Account to whose retry budget requests on open routes are charged. */
    private static final ClientAccountName ANONYMOUS_ACCOUNT = new ClientAccountName("open");

    private final ServerHealth health;
    private final HealthProbe probe;
    private final SuspectExchange exchange;
    private final Clock clock;
    private final PoisonRequestDetector detector = new PoisonRequestDetector();
    private final RetryBudget retryBudget = new RetryBudget();
    private final Map<BackendServerName, Map<RequestId, RequestDigest>> inFlight = new HashMap<>();
    private final Map<BackendServerName, Set<RequestDigest>> lostRequests = new HashMap<>();
    private final Map<BackendServerName, Mono<Void>> probesInProgress = new HashMap<>();
    private long retryCount;

    /**
     * Creates the gate.
     *
     * @param health receives the results of attempts
     * @param probe distinguishes a crash from a lost connection
     * @param exchange sends suspect records to other VMs and receives theirs
     * @param clock clock of the process
     */
    public AttemptMonitor(ServerHealth health, HealthProbe probe, SuspectExchange exchange, Clock clock) {
        this.health = health;
        this.probe = probe;
        this.exchange = exchange;
        this.clock = clock;
        exchange.subscribe(this::mergeRecords);
    }

    @Override
    public synchronized Optional<Refusal> checkQuarantine(RequestContext request, String digest) {
        retryBudget.recordRequest(request.account().orElse(ANONYMOUS_ACCOUNT));
        return detector.isQuarantined(new RequestDigest(digest), clock.instant())
                ? Optional.of(Refusal.of(FailurePoint.QUARANTINED, FailurePoint.QUARANTINED.detail()))
                : Optional.empty();
    }

    @Override
    public synchronized boolean tryAcquireRetry(RequestContext request, String digest, AttemptResult last) {
        if (detector.isQuarantined(new RequestDigest(digest), clock.instant())) {
            return false;
        }
        boolean notDelivered = last instanceof AttemptResult.NotRun n && !n.shed();
        boolean granted =
                notDelivered || retryBudget.tryTakeRetry(request.account().orElse(ANONYMOUS_ACCOUNT));
        retryCount += granted && !notDelivered ? 1 : 0;
        return granted;
    }

    @Override
    public synchronized Set<BackendServerName> serversToAvoid(String digest) {
        if (!detector.isSuspect(new RequestDigest(digest), clock.instant())) {
            return Set.of();
        }
        Set<BackendServerName> avoided = new HashSet<>();
        inFlight.forEach((server, running) -> {
            if (running.values().stream().anyMatch(d -> detector.isSuspect(d, clock.instant()))) {
                avoided.add(server);
            }
        });
        return avoided;
    }

    @Override
    public synchronized void recordStart(BackendServer server, RequestContext request, String digest) {
        inFlight.computeIfAbsent(server.name(), s -> new HashMap<>()).put(request.id(), new RequestDigest(digest));
    }

    @Override
    public Mono<Void> recordEnd(BackendServer server, RequestContext request, String digest, AttemptResult result) {
        boolean callerGone =
                result instanceof AttemptResult.Uncertain u && u.step().equals(CANCEL);
        health.recordResult(server, result, callerGone);
        boolean lost = result instanceof AttemptResult.Uncertain u && !u.timedOut() && !callerGone;
        RequestDigest d = new RequestDigest(digest);
        removeInFlight(server, request, d, result);
        if (!(result instanceof AttemptResult.Answered)) {
            log(server, request, result);
        }
        return lost ? checkForCrash(server, d) : Mono.empty();
    }

    private synchronized void removeInFlight(
            BackendServer server, RequestContext request, RequestDigest d, AttemptResult result) {
        Optional.ofNullable(inFlight.get(server.name())).ifPresent(m -> m.remove(request.id()));
        if (result instanceof AttemptResult.Answered) {
            detector.recordAnswer(d, clock.instant()).ifPresent(r -> {
                var _ = exchange.publish(List.of(r)).subscribe();
            });
        }
    }

    /**
     * Returns the number of retries that were charged to a retry budget.
     *
     * @return retries since the start of the process
     */
    public synchronized long retryCount() {
        return retryCount;
    }

    /**
     * Returns the records of suspect requests, for operators.
     *
     * @return records that have not expired
     */
    public synchronized List<SuspectRecord> suspects() {
        detector.removeExpired(clock.instant());
        return detector.records();
    }

    private synchronized void mergeRecords(Collection<SuspectRecord> records) {
        records.forEach(detector::merge);
    }

    /** Probes a server after a lost connection; if it also refuses new connections, it has crashed. */
    private synchronized Mono<Void> checkForCrash(BackendServer server, RequestDigest digest) {
        lostRequests.computeIfAbsent(server.name(), s -> new HashSet<>()).add(digest);
        return probesInProgress.computeIfAbsent(server.name(), s -> {
            Mono<Void> probed = probe.refusesConnections(server)
                    .flatMap(refused -> handleProbeResult(server, refused))
                    .timeout(CRASH_REPORT_TIMEOUT)
                    .onErrorComplete()
                    .cache();
            var _ = probed.subscribe();
            return probed;
        });
    }

    private synchronized Mono<Void> handleProbeResult(BackendServer server, boolean refused) {
        probesInProgress.remove(server.name());
        Set<RequestDigest> digests = lostRequests.remove(server.name());
        if (!refused) {
            return Mono.empty();
        }
        digests.addAll(inFlight.getOrDefault(server.name(), Map.of()).values());
        LogEvent.of("backend-server-crashed")
                .with("step", "attempt")
                .with("peer", server.name())
                .with("in-flight", digests.size())
                .warn();
        return exchange.publish(detector.recordCrash(server.name(), digests, clock.instant()));
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
