package org.lycheetray.edge.exchange;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.util.concurrent.ScheduledFuture;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.Consumer;
import org.lycheetray.core.model.BackendServerName;
import org.lycheetray.core.model.ConfigVersion;
import org.lycheetray.core.model.ServiceName;
import org.lycheetray.core.placement.AttemptOutcome;
import org.lycheetray.core.placement.PlacementDecision;
import org.lycheetray.core.placement.PlacementRequest;
import org.lycheetray.core.quota.QuotaDecision;
import org.lycheetray.core.registry.RegisteredServer;
import org.lycheetray.core.suspect.RequestFingerprint;
import org.lycheetray.core.suspect.SuspectVerdict;
import org.lycheetray.core.time.MonotonicTime;
import org.lycheetray.core.traffic.AccountPolicy;
import org.lycheetray.core.traffic.TrafficConfig;
import org.lycheetray.core.traffic.TrafficRoute;
import org.lycheetray.daemon.request.Body;
import org.lycheetray.daemon.request.HopByHopUtil;
import org.lycheetray.edge.backend.AttemptResult;
import org.lycheetray.edge.backend.OutgoingRequest;
import org.lycheetray.edge.dialect.BackendDialect;

/**
 * Handles one request from the arrival of its head to the reply.
 *
 * <p>Not thread-safe: used on the event loop only.
 */
public final class Exchange {
    /** Time after the deadline in which an answer that is already on its way may still arrive. */
    private static final Duration DEADLINE_GRACE = Duration.ofMillis(40);

    /** Time reserved for delivering the reply, which is useless after the caller's timeout has passed. */
    private static final Duration REPLY_DELIVERY_TIME = Duration.ofMillis(50);

    /** Retry-After of a VM that has no configuration yet, which it reads shortly after its start. */
    private static final Duration NOT_CONFIGURED_RETRY_AFTER = Duration.ofMillis(500);

    /** Retry-After of a VM that is leaving; another VM can take the request at once. */
    private static final Duration LEAVING_RETRY_AFTER = Duration.ofMillis(50);

    /** Retry-After once no further attempt is allowed; an overloaded server has usually freed capacity by then. */
    private static final Duration MIN_RETRY_AFTER = Duration.ofMillis(150);

    /** Delay before the next try to send a hedged attempt, if none could be sent. */
    private static final Duration HEDGE_RETRY_DELAY = Duration.ofMillis(100);

    private final Exchanges exchanges;
    private final ExchangeContext context;
    private final IncomingRequest request;
    private final long sequence;
    private final Consumer<Reply> responder;
    private final String id;
    private final Set<BackendServerName> triedServers = new HashSet<>();
    private final StringBuilder attemptLog = new StringBuilder();
    private ConfigVersion version = ConfigVersion.NONE;
    private Optional<TrafficRoute> route = Optional.empty();
    private Optional<AccountPolicy> account = Optional.empty();
    private Optional<ServiceName> service = Optional.empty();
    private RequestFingerprint fingerprint;
    private PlacementRequest placement;
    private MonotonicTime deadline;
    private ScheduledFuture<?> deadlineTimer;
    private ScheduledFuture<?> hedgeTimer;
    private boolean quotaCharged;
    private boolean pending;
    private boolean trial;
    private boolean finished;
    private int attemptCount;
    private int lostConnections;
    private int crashChecks;
    private boolean awaitsCrashChecks;
    private boolean mayHaveRun;
    private RetryCharge retryCharge;
    private Optional<AttemptResult.Answer> fallbackAnswer = Optional.empty();
    private final List<RunningAttempt> runningAttempts = new ArrayList<>();

    Exchange(
            Exchanges exchanges,
            ExchangeContext context,
            IncomingRequest request,
            long sequence,
            Consumer<Reply> responder) {
        this.exchanges = exchanges;
        this.context = context;
        this.request = request;
        this.sequence = sequence;
        this.responder = responder;
        this.id = context.callers().requestId(request.headers()).orElse("");
    }

    int priority() {
        OptionalInt accountPriority = account.map(AccountPolicy::priority).orElse(OptionalInt.empty());
        return accountPriority.orElse(route.map(TrafficRoute::priority).orElse(Integer.MAX_VALUE));
    }

    long sequence() {
        return sequence;
    }

    /**
     * Returns the identifier that the caller assigned to the request.
     *
     * @return the identifier, empty if the request has none
     */
    public String id() {
        return id;
    }

    void start() {
        Optional<TrafficConfig> config = context.steering().config();
        if (exchanges.isRefusing()) {
            refuse(Outcome.LEAVING, LEAVING_RETRY_AFTER);
        } else if (config.isEmpty() || !context.steering().isReady()) {
            refuse(Outcome.NOT_CONFIGURED, NOT_CONFIGURED_RETRY_AFTER);
        } else if (id.isEmpty() || !request.uri().startsWith("/")) {
            finish(Outcome.BAD_REQUEST, Optional.empty());
        } else {
            admit(config.get());
        }
    }

    /** Ends the exchange because the VM has no room to begin it. */
    void refuseUnstarted(Outcome outcome) {
        refuse(outcome, Exchanges.UNSTARTED_RETRY_AFTER);
    }

    private void admit(TrafficConfig config) {
        version = config.version();
        route = config.route(request.headers().get(HttpHeaderNames.HOST, ""), request.path());
        if (route.isEmpty()) {
            finish(Outcome.NO_ROUTE, Optional.empty());
            return;
        }
        if (config.hasAccounts() && !route.get().anonymous()) {
            account = context.callers().accountKey(request.headers()).flatMap(config::account);
            if (account.isEmpty()) {
                finish(Outcome.NO_ACCOUNT, Optional.empty());
                return;
            }
        }
        fingerprint = new RequestFingerprint(
                request.method().name(),
                request.headers().get(HttpHeaderNames.HOST, ""),
                request.uri(),
                account.map(AccountPolicy::name),
                request.body().bytes());
        if (refuseIfQuarantined()) {
            return;
        }
        if (account.isPresent()) {
            QuotaDecision d = context.steering().quota().admit(account.get(), now());
            if (d instanceof QuotaDecision.OverRate o) {
                refuse(Outcome.OVER_RATE, o.retryAfter());
                return;
            }
            quotaCharged = true;
        }
        preparePlacement(route.get());
        place();
    }

    /** Refuses the request if requests like it have crashed backend servers; returns whether it was refused. */
    private boolean refuseIfQuarantined() {
        SuspectVerdict v = trial
                ? new SuspectVerdict.Unsuspected()
                : context.steering().suspects().admit(fingerprint, now());
        return switch (v) {
            case SuspectVerdict.Quarantined q -> {
                removeFromPending();
                appendToAttemptLog("quarantined crashes=" + q.crashes());
                endUnplaced(Outcome.QUARANTINED, q.remaining());
                yield true;
            }
            case SuspectVerdict.Trial t -> {
                trial = true;
                appendToAttemptLog("trial crashes=" + t.crashes());
                yield false;
            }
            case SuspectVerdict.NoRepeat n -> false;
            case SuspectVerdict.Unsuspected u -> false;
        };
    }

    private void preparePlacement(TrafficRoute r) {
        Duration callerTimeout = RequestTimeout.ofCaller(context, request.headers(), r);
        deadline = request.received().plus(RequestTimeout.ofRequest(callerTimeout, r));
        MonotonicTime lastUsefulReply = request.received().plus(callerTimeout).plus(REPLY_DELIVERY_TIME.negated());
        ServiceName s = context.steering().selectService(r);
        service = Optional.of(s);
        context.steering().retryBudget().recordRequest(s, now());
        retryCharge = new RetryCharge(context.steering().retryBudget(), s);
        Optional<String> object = r.sticky() ? context.callers().objectName(request.headers()) : Optional.empty();
        MonotonicTime target = request.received().plus(r.targetLatency());
        placement = new PlacementRequest(
                r,
                s,
                object,
                AllowedRegionsUtil.regions(r, account),
                request.received(),
                target,
                deadline,
                triedServers);
        MonotonicTime expiry = deadline.plus(DEADLINE_GRACE);
        long remaining = Math.max(
                0,
                (lastUsefulReply.isBefore(expiry) ? lastUsefulReply : expiry)
                        .since(now())
                        .toNanos());
        deadlineTimer = context.loop().schedule(this::deadlineReached, remaining, TimeUnit.NANOSECONDS);
    }

    void retryPlacement() {
        if (!finished && pending && !refuseIfQuarantined()) {
            place();
        }
    }

    private void place() {
        if (!exchanges.canFinish(placement.route(), deadline)) {
            removeFromPending();
            appendToAttemptLog("too-late-before-stop");
            endUnplaced(Outcome.LEAVING, LEAVING_RETRY_AFTER);
            return;
        }
        PlacementDecision d = context.steering().placement().decide(placement, now());
        switch (d) {
            case PlacementDecision.Send s -> {
                removeFromPending();
                if (retryCharge.tryPay(now())) {
                    send(s);
                } else {
                    appendToAttemptLog("no-retry-budget");
                    endUnplaced(Outcome.NO_ROOM, MIN_RETRY_AFTER);
                }
            }
            case PlacementDecision.Hold h -> {
                if (!pending) {
                    pending = true;
                    exchanges.pending().add(placement.service(), this);
                }
            }
            case PlacementDecision.Refuse r -> {
                removeFromPending();
                appendToAttemptLog(r.reason());
                endUnplaced(Outcome.NO_ROOM, r.retryAfter());
            }
        }
    }

    private void removeFromPending() {
        if (pending) {
            pending = false;
            exchanges.pending().remove(placement.service(), this);
        }
    }

    /** Ends the exchange when no further server may be tried; the refusal is used only if the request has not run. */
    private void endUnplaced(Outcome refusal, Duration retryAfter) {
        if (fallbackAnswer.isPresent()) {
            deliver(fallbackAnswer.get());
        } else if (mayHaveRun) {
            finish(Outcome.UNKNOWN, Optional.empty());
        } else {
            refuse(refusal, retryAfter);
        }
    }

    private void send(PlacementDecision.Send s) {
        RegisteredServer server = s.server();
        context.steering().placement().recordStart(placement, s, now());
        attemptCount++;
        triedServers.add(server.name());
        appendToAttemptLog(server.name() + " " + s.reason());
        RunningAttempt r = new RunningAttempt(s, now(), new AtomicReference<>());
        runningAttempts.add(r);
        OutgoingRequest out = new OutgoingRequest(
                id,
                request.method(),
                request.uri(),
                () -> outgoingHeaders(server),
                request.body(),
                account.map(AccountPolicy::name),
                deadline,
                placement.regions());
        int max = context.steering().maxConnections(placement.service());
        r.attempt().set(context.backends().send(server, max, out, result -> attemptEnded(r, result)));
        scheduleHedge(r, s.overdueAfter());
    }

    /** Adds an item to the attempts in the request's log line. */
    private void appendToAttemptLog(String item) {
        attemptLog.append(attemptLog.isEmpty() ? "" : "; ").append(item);
    }

    private void scheduleHedge(RunningAttempt r, Duration delay) {
        if (placement.route().isIdempotent() && runningAttempts.contains(r)) {
            cancel(hedgeTimer);
            hedgeTimer = context.loop().schedule(() -> sendHedgedAttempt(r), delay.toNanos(), TimeUnit.NANOSECONDS);
        }
    }

    /**
     * Sends a hedged attempt in parallel to one whose answer is overdue; the first answer is delivered.
     *
     * <p>Follows Dean and Barroso, "The Tail at Scale": hedging only overdue requests adds little load.
     */
    private void sendHedgedAttempt(RunningAttempt r) {
        if (finished
                || runningAttempts.size() != 1
                || !runningAttempts.contains(r)
                || attemptCount >= placement.route().maxAttempts()
                || !exchanges.canFinish(placement.route(), deadline)
                || !mayRepeat()) {
            return;
        }
        if (context.steering().placement().decide(placement, now()) instanceof PlacementDecision.Send s
                && canRetry(true)
                && retryCharge.tryPay(now())) {
            appendToAttemptLog(r.decision().name() + " overdue");
            send(s);
        } else {
            scheduleHedge(r, HEDGE_RETRY_DELAY);
        }
    }

    /** Repeats the request, if it may be repeated, because the path of its only attempt is believed to be cut. */
    void repeatElsewhere() {
        if (runningAttempts.size() == 1
                && placement.route().isIdempotent()
                && runningAttempts.getFirst().relay().isEmpty()) {
            sendHedgedAttempt(runningAttempts.getFirst());
        }
    }

    private HttpHeaders outgoingHeaders(RegisteredServer server) {
        HttpHeaders h = HopByHopUtil.copyEndToEnd(request.headers());
        Duration remaining = deadline.since(now());
        context.servers()
                .setRequestHeaders(
                        h,
                        new BackendDialect.RequestMetadata(server.name(), account.map(AccountPolicy::name), remaining));
        if (request.body().bytes().length > 0 || request.headers().contains(HttpHeaderNames.CONTENT_LENGTH)) {
            h.set(
                    HttpHeaderNames.CONTENT_LENGTH,
                    Integer.toString(request.body().bytes().length));
        }
        return h;
    }

    private void attemptEnded(RunningAttempt r, AttemptResult result) {
        MonotonicTime now = now();
        Duration took = now.since(r.startedAt());
        runningAttempts.remove(r);
        PlacementDecision.Send send = r.decision();
        appendToAttemptLog(r.describe(took, AttemptResultUtil.describe(result)));
        if (result instanceof AttemptResult.Answer a) {
            if (a.status() < 500) {
                exchanges.answerTimes().record(placement.route(), took);
            }
            context.servers()
                    .reportedLoad(a.headers())
                    .ifPresent(l -> context.steering().placement().recordReportedLoad(send.name(), l, now));
        }
        context.steering().placement().recordEnd(placement, send, AttemptResultUtil.outcome(result, took), now);
        exchanges.scheduleRetryPending();
        if (result instanceof AttemptResult.Unknown u && u.loss() == AttemptResult.Loss.CONNECTION) {
            handleLostConnection(send.server());
            return;
        }
        if (finished) {
            AttemptResultUtil.release(result);
            return;
        }
        switch (result) {
            case AttemptResult.Answer a -> handleAnswer(a);
            case AttemptResult.NotRun n -> retryNotRun(n.reason().countsAsArrived());
            case AttemptResult.Unknown u -> {
                mayHaveRun = true;
                retryAfterLostAnswer();
            }
        }
    }

    /**
     * Handles the loss of a connection, which may be due to a crash of the server. A request that may have crashed a
     * server before is repeated only when it is known of all its servers whether it has crashed them.
     */
    private void handleLostConnection(RegisteredServer server) {
        mayHaveRun = true;
        lostConnections++;
        crashChecks++;
        boolean suspect = lostConnections > 1 || context.steering().suspects().isSuspect(fingerprint);
        awaitsCrashChecks |= suspect;
        exchanges.crashes().recordLostConnection(server, () -> fingerprint, crashed -> {
            crashChecks--;
            if (awaitsCrashChecks && crashChecks == 0) {
                awaitsCrashChecks = false;
                retryAfterLostAnswer();
            }
        });
        if (!suspect) {
            retryAfterLostAnswer();
        }
    }

    private void retryAfterLostAnswer() {
        if (!finished && !pending) {
            retryIfIdempotentOrElse(() -> endUnplaced(Outcome.NO_ROOM, MIN_RETRY_AFTER));
        }
    }

    private void handleAnswer(AttemptResult.Answer a) {
        boolean success = a.status() / 100 == 2;
        boolean signed = context.servers().isSigned(a.headers());
        if (signed && a.status() < 500) {
            context.steering().recordRequestAnswered(fingerprint);
        }
        if (success && !signed) {
            a.memory().close();
            mayHaveRun = true;
            retryIfIdempotentOrElse(() -> finish(Outcome.UNKNOWN, Optional.empty()));
        } else if (Outcome.promisesNotRun(a.status())) {
            a.memory().close();
            mayHaveRun = true;
            retryIfIdempotentOrElse(() -> finish(Outcome.UNKNOWN, Optional.empty()));
        } else if (a.status() >= 500) {
            mayHaveRun = true;
            fallbackAnswer.ifPresent(AttemptResultUtil::release);
            fallbackAnswer = Optional.of(a);
            retryIfIdempotentOrElse(() -> deliver(a));
        } else {
            deliver(a);
        }
    }

    private void retryIfIdempotentOrElse(Runnable otherwise) {
        if (runningAttempts.isEmpty() && !awaitsCrashChecks) {
            if (placement.route().isIdempotent() && canRetry(true)) {
                place();
            } else {
                otherwise.run();
            }
        }
    }

    private void retryNotRun(boolean reachedServer) {
        if (runningAttempts.isEmpty() && !awaitsCrashChecks) {
            if (canRetry(reachedServer)) {
                place();
            } else {
                endUnplaced(Outcome.NO_ROOM, MIN_RETRY_AFTER);
            }
        }
    }

    private boolean canRetry(boolean reachedServer) {
        if (reachedServer && !mayRepeat()) {
            appendToAttemptLog("not-repeated");
            return false;
        }
        return attemptCount < placement.route().maxAttempts()
                && now().isBefore(deadline)
                && (!reachedServer || retryCharge.tryRequire(now()));
    }

    /** Returns whether the request may be sent to a further server although one may have begun to run it. */
    private boolean mayRepeat() {
        return context.steering().suspects().mayRepeat(fingerprint);
    }

    private void deadlineReached() {
        endWithoutAnswer(Outcome.TIMED_OUT, () -> refuse(Outcome.NO_ROOM, MIN_RETRY_AFTER));
    }

    /** Ends the exchange with a reply because the VM stops. */
    void endForStop() {
        endWithoutAnswer(Outcome.INTERRUPTED, () -> refuse(Outcome.LEAVING, LEAVING_RETRY_AFTER));
    }

    private void endWithoutAnswer(Outcome mayHaveRunOutcome, Runnable ifNotSent) {
        if (finished) {
            return;
        }
        removeFromPending();
        boolean sent = runningAttempts.stream().anyMatch(RunningAttempt::isSent);
        if (fallbackAnswer.isPresent()) {
            deliver(fallbackAnswer.get());
        } else if (sent || mayHaveRun) {
            finish(mayHaveRunOutcome, Optional.empty());
        } else {
            ifNotSent.run();
        }
    }

    private void cancelRunningAttempts() {
        List<RunningAttempt> remaining = List.copyOf(runningAttempts);
        runningAttempts.clear();
        remaining.forEach(r -> {
            if (r.attempt().get() != null) {
                r.attempt().get().cancel();
            }
            Duration waited = now().since(r.startedAt());
            context.steering()
                    .placement()
                    .recordEnd(placement, r.decision(), new AttemptOutcome.Cancelled(waited), now());
            appendToAttemptLog(r.describe(waited, "given-up"));
        });
        if (!remaining.isEmpty()) {
            exchanges.scheduleRetryPending();
        }
    }

    /** Ends the exchange without a reply because the caller has disconnected. */
    public void callerDisconnected() {
        if (finished) {
            return;
        }
        removeFromPending();
        recordFinished("caller-gone", 0);
    }

    private void deliver(AttemptResult.Answer a) {
        HttpHeaders h = HopByHopUtil.copyEndToEnd(a.headers());
        fallbackAnswer.filter(f -> !f.memory().equals(a.memory())).ifPresent(AttemptResultUtil::release);
        fallbackAnswer = Optional.empty();
        recordFinished("answered", a.status());
        responder.accept(new Reply(a.status(), h, a.body(), Optional.of(a.memory())));
    }

    private void refuse(Outcome outcome, Duration retryAfter) {
        if (quotaCharged) {
            context.steering().quota().refund(account.orElseThrow());
        }
        finish(outcome, Optional.of(retryAfter));
    }

    private void finish(Outcome outcome, Optional<Duration> retryAfter) {
        HttpHeaders h = new DefaultHttpHeaders();
        if (!id.isEmpty()) {
            context.callers().setRequestId(h, id);
        }
        retryAfter.ifPresent(d -> h.set(HttpHeaderNames.RETRY_AFTER, Reply.formatSeconds(d)));
        h.set(HttpHeaderNames.CONTENT_TYPE, "text/plain");
        String reason = outcome.name().toLowerCase(Locale.ROOT).replace('_', '-');
        recordFinished(reason, outcome.status());
        responder.accept(new Reply(outcome.status(), h, new Body(reason.getBytes(StandardCharsets.US_ASCII))));
    }

    private void recordFinished(String outcome, int status) {
        finished = true;
        fallbackAnswer.ifPresent(AttemptResultUtil::release);
        fallbackAnswer = Optional.empty();
        cancelRunningAttempts();
        cancel(deadlineTimer);
        cancel(hedgeTimer);
        exchanges.exchangeFinished(this);
        context.observer()
                .exchangeFinished(new ExchangeObserver.FinishedExchange(
                        id,
                        route.map(TrafficRoute::name),
                        account.map(AccountPolicy::name),
                        placement == null ? Optional.empty() : placement.object(),
                        service,
                        version,
                        status,
                        outcome,
                        attemptLog.toString(),
                        now().since(request.received())));
    }

    private static void cancel(ScheduledFuture<?> timer) {
        if (timer != null) {
            timer.cancel(false);
        }
    }

    private MonotonicTime now() {
        return context.clock().monotonic();
    }
}
