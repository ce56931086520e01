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
import org.lycheetray.core.model.RegionName;
import org.lycheetray.core.model.ServiceName;
import org.lycheetray.core.placement.AttemptOutcome;
import org.lycheetray.core.placement.PlacementDecision;
import org.lycheetray.core.placement.PlacementRequest;
import org.lycheetray.core.quota.QuotaDecision;
import org.lycheetray.core.registry.RegisteredServer;
import org.lycheetray.core.time.MonotonicTime;
import org.lycheetray.core.traffic.AccountPolicy;
import org.lycheetray.core.traffic.TrafficConfig;
import org.lycheetray.core.traffic.TrafficRoute;
import org.lycheetray.daemon.request.Body;
import org.lycheetray.daemon.request.HopByHopUtil;
import org.lycheetray.edge.backend.Attempt;
import org.lycheetray.edge.backend.AttemptResult;
import org.lycheetray.edge.backend.OutgoingRequest;
import org.lycheetray.edge.dialect.BackendDialect;

/** One request from its head to its reply. For the event loop. */
public final class Exchange {
    /** Time after the end of a request's time in which an answer that is on its way may still arrive. */
    private static final Duration END_SLACK = Duration.ofMillis(40);

    /** Time that an answer may need to reach its caller: it is of no use after the caller has given up. */
    private static final Duration RETURN_TIME = Duration.ofMillis(50);

    /** Retry-After of a VM without configuration: it learns one within moments of its start. */
    private static final Duration CONFIG_RETRY = Duration.ofMillis(500);

    /** Retry-After of a VM that leaves: another one takes the request at once. */
    private static final Duration LEAVING_RETRY = Duration.ofMillis(50);

    private static final double MILLIS_PER_SECOND = 1_000.0;

    /** Stands for no region at all where a route's and an account's regions have none in common. */
    private static final RegionName NOWHERE = new RegionName("nowhere");

    /** Retry-After when attempts are used up: the time in which a server that shed has room again. */
    private static final Duration LEAST_RETRY = Duration.ofMillis(150);

    /** Pause until an overdue attempt is looked at again, when there was no room for a second one. */
    private static final Duration OVERDUE_PAUSE = Duration.ofMillis(100);

    private final Exchanges owner;
    private final ExchangeParts parts;
    private final IncomingRequest request;
    private final long sequence;
    private final Consumer<Reply> responder;
    private final String id;
    private final Set<BackendServerName> tried = new HashSet<>();
    private final StringBuilder attempts = new StringBuilder();
    private ConfigVersion version = ConfigVersion.NONE;
    private Optional<TrafficRoute> route = Optional.empty();
    private Optional<AccountPolicy> account = Optional.empty();
    private Optional<ServiceName> service = Optional.empty();
    private PlacementRequest placement;
    private MonotonicTime end;
    private ScheduledFuture<?> endTimer;
    private ScheduledFuture<?> overdueTimer;
    private boolean charged;
    private boolean waiting;
    private boolean over;
    private int sends;
    private boolean mayHaveRun;
    private Optional<AttemptResult.Answer> fallback = Optional.empty();
    private final List<Running> running = new ArrayList<>();

    /** An attempt in progress. */
    private record Running(PlacementDecision.Send send, MonotonicTime since, AtomicReference<Attempt> attempt) {
        boolean isSent() {
            return attempt.get() != null && attempt.get().isSent();
        }
    }

    Exchange(Exchanges owner, ExchangeParts parts, IncomingRequest request, long sequence, Consumer<Reply> responder) {
        this.owner = owner;
        this.parts = parts;
        this.request = request;
        this.sequence = sequence;
        this.responder = responder;
        this.id = parts.callers().requestId(request.headers()).orElse("");
    }

    int priority() {
        OptionalInt own = account.map(AccountPolicy::priority).orElse(OptionalInt.empty());
        return own.orElse(route.map(TrafficRoute::priority).orElse(Integer.MAX_VALUE));
    }

    long sequence() {
        return sequence;
    }

    void start() {
        Optional<TrafficConfig> config = parts.steering().config();
        if (owner.isRefusing()) {
            refuse(Outcome.LEAVING, LEAVING_RETRY);
        } else if (config.isEmpty() || !parts.steering().isReady()) {
            refuse(Outcome.NOT_CONFIGURED, CONFIG_RETRY);
        } else if (id.isEmpty() || !request.uri().startsWith("/")) {
            finish(Outcome.BAD_REQUEST, Optional.empty());
        } else {
            admit(config.get());
        }
    }

    private void admit(TrafficConfig config) {
        version = config.version();
        route = config.route(request.headers().get(HttpHeaderNames.HOST, ""), request.path());
        if (route.isEmpty()) {
            finish(Outcome.NO_ROUTE, Optional.empty());
            return;
        }
        if (config.hasAccounts() && !route.get().anonymous()) {
            account = parts.callers().key(request.headers()).flatMap(config::account);
            if (account.isEmpty()) {
                finish(Outcome.NO_ACCOUNT, Optional.empty());
                return;
            }
        }
        if (account.isPresent()) {
            QuotaDecision d = parts.steering().quota().admit(account.get(), now());
            if (d instanceof QuotaDecision.OverRate o) {
                refuse(Outcome.OVER_RATE, o.retryAfter());
                return;
            }
            charged = true;
        }
        prepare(route.get());
        place();
    }

    private void prepare(TrafficRoute r) {
        Duration patience = parts.callers().patience(request.headers()).orElse(r.timeout());
        end = request.received().plus(patience.compareTo(r.timeout()) < 0 ? patience : r.timeout());
        MonotonicTime lastAnswer = request.received().plus(patience).plus(RETURN_TIME.negated());
        ServiceName s = parts.steering().service(r);
        service = Optional.of(s);
        parts.steering().retries().recordRequest(s, now());
        Optional<String> object = r.sticky() ? parts.callers().object(request.headers()) : Optional.empty();
        MonotonicTime target = request.received().plus(r.targetLatency());
        placement = new PlacementRequest(r, s, object, regions(r), request.received(), target, end, tried);
        MonotonicTime over = end.plus(END_SLACK);
        long left = Math.max(
                0, (lastAnswer.isBefore(over) ? lastAnswer : over).since(now()).toNanos());
        endTimer = parts.loop().schedule(this::timeOut, left, TimeUnit.NANOSECONDS);
    }

    private Set<RegionName> regions(TrafficRoute r) {
        Set<RegionName> own = account.map(AccountPolicy::regions).orElse(Set.of());
        if (own.isEmpty() || r.regions().isEmpty()) {
            return own.isEmpty() ? r.regions() : own;
        }
        Set<RegionName> both = new HashSet<>(own);
        both.retainAll(r.regions());
        return both.isEmpty() ? Set.of(NOWHERE) : both;
    }

    void retryPlacement() {
        if (!over && waiting) {
            place();
        }
    }

    private void place() {
        PlacementDecision d = parts.steering().placement().decide(placement, now());
        switch (d) {
            case PlacementDecision.Send s -> {
                leaveRoom();
                send(s);
            }
            case PlacementDecision.Hold h -> {
                if (!waiting) {
                    waiting = true;
                    owner.room().add(placement.service(), this);
                }
            }
            case PlacementDecision.Refuse r -> {
                leaveRoom();
                note(r.reason());
                noServer(r.retryAfter());
            }
        }
    }

    private void leaveRoom() {
        if (waiting) {
            waiting = false;
            owner.room().remove(placement.service(), this);
        }
    }

    private void noServer(Duration retryAfter) {
        if (fallback.isPresent()) {
            deliver(fallback.get());
        } else if (mayHaveRun) {
            finish(Outcome.UNKNOWN, Optional.empty());
        } else {
            refuse(Outcome.NO_ROOM, retryAfter);
        }
    }

    private void send(PlacementDecision.Send s) {
        RegisteredServer server = s.server();
        parts.steering().placement().recordStart(placement, s, now());
        sends++;
        tried.add(server.name());
        note(server.name() + " " + s.reason());
        Running r = new Running(s, now(), new AtomicReference<>());
        running.add(r);
        OutgoingRequest out =
                new OutgoingRequest(id, request.method(), request.uri(), () -> outgoingHeaders(server), request.body());
        int max = parts.steering().maxConnections(placement.service());
        r.attempt().set(parts.backends().send(server, max, out, result -> ended(r, result)));
        watch(r, s.overdueAfter());
    }

    /** Adds an item to the request's line in the log. */
    private void note(String item) {
        attempts.append(attempts.isEmpty() ? "" : "; ").append(item);
    }

    private void watch(Running r, Duration pause) {
        if (placement.route().isIdempotent() && running.contains(r)) {
            cancel(overdueTimer);
            overdueTimer = parts.loop().schedule(() -> overdue(r), pause.toNanos(), TimeUnit.NANOSECONDS);
        }
    }

    /**
     * Sends a request once more, beside an attempt whose answer is overdue; the first answer counts.
     *
     * <p>After Dean and Barroso, "The Tail at Scale": a second attempt that starts late costs little.
     */
    private void overdue(Running r) {
        if (over
                || running.size() != 1
                || !running.contains(r)
                || sends >= placement.route().maxAttempts()) {
            return;
        }
        if (parts.steering().placement().decide(placement, now()) instanceof PlacementDecision.Send s
                && mayTryAgain(true)) {
            note(r.send().name() + " overdue");
            send(s);
        } else {
            watch(r, OVERDUE_PAUSE);
        }
    }

    private HttpHeaders outgoingHeaders(RegisteredServer server) {
        HttpHeaders h = HopByHopUtil.copy(request.headers());
        Duration left = end.since(now());
        parts.servers()
                .instruct(h, new BackendDialect.Instructions(server.name(), account.map(AccountPolicy::name), left));
        if (request.body().bytes().length > 0 || request.headers().contains(HttpHeaderNames.CONTENT_LENGTH)) {
            h.set(
                    HttpHeaderNames.CONTENT_LENGTH,
                    Integer.toString(request.body().bytes().length));
        }
        return h;
    }

    private void ended(Running r, AttemptResult result) {
        MonotonicTime now = now();
        Duration took = now.since(r.since());
        running.remove(r);
        PlacementDecision.Send send = r.send();
        note(send.name() + " " + took.toMillis() + "ms " + describe(result));
        if (result instanceof AttemptResult.Answer a) {
            parts.servers()
                    .load(a.headers())
                    .ifPresent(l -> parts.steering().placement().recordReportedLoad(send.name(), l, now));
        }
        parts.steering().placement().recordEnd(placement, send, evidence(result, took), now);
        owner.wakeSoon();
        if (over) {
            return;
        }
        switch (result) {
            case AttemptResult.Answer a -> answered(a);
            case AttemptResult.NotRun n -> again(n.proof() != AttemptResult.Proof.UNREACHABLE);
            case AttemptResult.Unknown u -> {
                mayHaveRun = true;
                retryOr(() -> noServer(LEAST_RETRY));
            }
        }
    }

    private static String describe(AttemptResult result) {
        return switch (result) {
            case AttemptResult.Answer a -> Integer.toString(a.status());
            case AttemptResult.NotRun n -> "not-run:" + n.proof().name().toLowerCase(Locale.ROOT);
            case AttemptResult.Unknown u -> "unknown:" + u.cause();
        };
    }

    private AttemptOutcome evidence(AttemptResult result, Duration took) {
        return switch (result) {
            case AttemptResult.Answer a ->
                a.status() >= 500 ? new AttemptOutcome.ServerError(took) : new AttemptOutcome.Answered(took);
            case AttemptResult.Unknown u -> new AttemptOutcome.ConnectionLost();
            case AttemptResult.NotRun n ->
                switch (n.proof()) {
                    case UNREACHABLE -> new AttemptOutcome.Unreachable();
                    case MISDIRECTED -> new AttemptOutcome.Misdirected();
                    case SHED, NO_CONNECTION -> new AttemptOutcome.Shed();
                };
        };
    }

    private void answered(AttemptResult.Answer a) {
        boolean success = a.status() / 100 == 2;
        boolean signed = parts.servers().isSigned(a.headers());
        if (success && !signed) {
            mayHaveRun = true;
            retryOr(() -> finish(Outcome.UNKNOWN, Optional.empty()));
        } else if (promisesNotRun(a.status())) {
            mayHaveRun = true;
            retryOr(() -> finish(Outcome.UNKNOWN, Optional.empty()));
        } else if (a.status() >= 500) {
            mayHaveRun = true;
            fallback = Optional.of(a);
            retryOr(() -> deliver(a));
        } else {
            deliver(a);
        }
    }

    /** Statuses by which a response promises that its request has not run; a server's answer that ran must not bear them. */
    private static boolean promisesNotRun(int status) {
        return status == 429 || status == 503 || status == 408 || status == 421;
    }

    private void retryOr(Runnable otherwise) {
        if (running.isEmpty()) {
            if (placement.route().isIdempotent() && mayTryAgain(true)) {
                place();
            } else {
                otherwise.run();
            }
        }
    }

    private void again(boolean arrived) {
        if (running.isEmpty()) {
            if (mayTryAgain(arrived)) {
                place();
            } else {
                noServer(LEAST_RETRY);
            }
        }
    }

    private boolean mayTryAgain(boolean arrived) {
        return sends < placement.route().maxAttempts()
                && now().isBefore(end)
                && (!arrived || parts.steering().retries().tryAcquireRetry(placement.service(), now()));
    }

    private void timeOut() {
        if (over) {
            return;
        }
        leaveRoom();
        boolean sent = running.stream().anyMatch(Running::isSent);
        if (fallback.isPresent()) {
            deliver(fallback.get());
        } else if (sent || mayHaveRun) {
            finish(Outcome.TIMED_OUT, Optional.empty());
        } else {
            refuse(Outcome.NO_ROOM, LEAST_RETRY);
        }
    }

    private void cancelRunning() {
        List<Running> rest = List.copyOf(running);
        running.clear();
        rest.forEach(r -> {
            if (r.attempt().get() != null) {
                r.attempt().get().cancel();
            }
            Duration waited = now().since(r.since());
            parts.steering().placement().recordEnd(placement, r.send(), new AttemptOutcome.Cancelled(waited), now());
            note(r.send().name() + " " + waited.toMillis() + "ms given-up");
        });
        if (!rest.isEmpty()) {
            owner.wakeSoon();
        }
    }

    /** The caller has left: nobody waits for the reply any more. */
    public void callerGone() {
        if (over) {
            return;
        }
        leaveRoom();
        over("caller-gone", 0);
    }

    private void deliver(AttemptResult.Answer a) {
        HttpHeaders h = HopByHopUtil.copy(a.headers());
        over("answered", a.status());
        responder.accept(new Reply(a.status(), h, a.body()));
    }

    private void refuse(Outcome outcome, Duration retryAfter) {
        if (charged) {
            parts.steering().quota().refund(account.orElseThrow());
        }
        finish(outcome, Optional.of(retryAfter));
    }

    private void finish(Outcome outcome, Optional<Duration> retryAfter) {
        HttpHeaders h = new DefaultHttpHeaders();
        if (!id.isEmpty()) {
            parts.callers().answerTo(h, id);
        }
        retryAfter.ifPresent(d -> h.set(HttpHeaderNames.RETRY_AFTER, seconds(d)));
        h.set(HttpHeaderNames.CONTENT_TYPE, "text/plain");
        String reason = outcome.name().toLowerCase(Locale.ROOT).replace('_', '-');
        over(reason, outcome.status());
        responder.accept(new Reply(outcome.status(), h, new Body(reason.getBytes(StandardCharsets.US_ASCII))));
    }

    private static String seconds(Duration d) {
        return Double.toString(Math.ceil(d.toNanos() / 1e6) / MILLIS_PER_SECOND);
    }

    private void over(String outcome, int status) {
        over = true;
        cancelRunning();
        cancel(endTimer);
        cancel(overdueTimer);
        owner.over();
        parts.observer()
                .finished(new ExchangeObserver.Finished(
                        id,
                        route.map(TrafficRoute::name),
                        account.map(AccountPolicy::name),
                        placement == null ? Optional.empty() : placement.object(),
                        service,
                        version,
                        status,
                        outcome,
                        attempts.toString(),
                        now().since(request.received())));
    }

    private static void cancel(ScheduledFuture<?> timer) {
        if (timer != null) {
            timer.cancel(false);
        }
    }

    private MonotonicTime now() {
        return parts.clock().monotonic();
    }
}
