package org.lycheetray.daemon.request.internal;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpHeaders;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import org.lycheetray.core.model.BackendServer;
import org.lycheetray.core.model.BackendServerName;
import org.lycheetray.core.model.Outcome;
import org.lycheetray.core.model.RouteClass;
import org.lycheetray.core.once.FailurePoint;
import org.lycheetray.core.once.RequestOutcome;
import org.lycheetray.core.time.Clock;
import org.lycheetray.daemon.log.LogEvent;
import org.lycheetray.daemon.request.Answer;
import org.lycheetray.daemon.request.AttemptResult;
import org.lycheetray.daemon.request.ClaimGate;
import org.lycheetray.daemon.request.RateLimits;
import org.lycheetray.daemon.request.Refusal;
import org.lycheetray.daemon.request.RequestBody;
import org.lycheetray.daemon.request.RequestContext;
import org.lycheetray.daemon.request.RequestGates;
import org.lycheetray.daemon.request.RequestPipeline;
import org.lycheetray.daemon.request.Response;
import org.lycheetray.daemon.request.SlotGate;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;

/** Sends a request to backend servers until one answers or a further attempt is not permitted. */
public final class AttemptLoop {
    private static final int MAX_ATTEMPTS = 3;
    private static final Set<String> SAFE_METHODS = Set.of("GET", "HEAD", "OPTIONS");

    private final RequestGates gates;
    private final BackendClient client;
    private final Clock clock;

    /**
     * Creates an attempt loop.
     *
     * @param gates the decision points
     * @param client sends requests to backend servers
     * @param clock clock used for deadlines
     */
    public AttemptLoop(RequestGates gates, BackendClient client, Clock clock) {
        this.gates = gates;
        this.client = client;
        this.clock = clock;
    }

    /** State of one request across its attempts; accessed by one attempt at a time. */
    private static final class Run {
        private final RequestContext request;
        private final RequestBody body;
        private final String digest;
        private final HttpHeaders headers;
        private final Optional<RateLimits> limits;
        private final Optional<ClaimGate.Claim> claim;
        private final Set<BackendServerName> tried = new HashSet<>();
        private final RequestOutcome outcome;
        private BackendServer server;
        private String reason = "";
        private int attempts;

        Run(
                RequestContext request,
                RequestBody body,
                String digest,
                Optional<RateLimits> limits,
                Optional<ClaimGate.Claim> claim) {
            this.request = request;
            this.body = body;
            this.digest = digest;
            this.limits = limits;
            this.claim = claim;
            this.outcome = new RequestOutcome(request.route().routeClass());
            String key = RequestPipeline.bearerToken(request.head().headers()).orElse("");
            this.headers = HeaderUtil.copyForBackend(request.head().headers(), key);
        }
    }

    /**
     * Runs a request that has been admitted and, on a {@code once} route, claimed.
     *
     * @param request the request
     * @param body its body
     * @param digest digest of its content
     * @param limits rate-limit state of the client account
     * @param claim the claim that receives the result, empty unless the route is of class {@code once}
     * @return the response
     */
    public Mono<Response> run(
            RequestContext request,
            RequestBody body,
            String digest,
            Optional<RateLimits> limits,
            Optional<ClaimGate.Claim> claim) {
        Run run = new Run(request, body, digest, limits, claim);
        return nextAttempt(run).onErrorResume(e -> internalError(run, e));
    }

    private static Mono<Response> internalError(Run run, Throwable e) {
        LogEvent.of("attempt-broken")
                .with("request", run.request.id())
                .with("step", "attempt-loop")
                .with("cause", e)
                .error();
        AttemptResult result = new AttemptResult.Uncertain("attempt-loop", "internal error", false);
        return finish(run, result, refused(FailurePoint.INTERNAL, "internal error"));
    }

    private Mono<Response> nextAttempt(Run run) {
        Set<BackendServerName> avoided = new HashSet<>(run.tried);
        avoided.addAll(gates.attempts().serversToAvoid(run.digest));
        return gates.slots().acquire(run.request, avoided).flatMap(d -> switch (d) {
            case SlotGate.Decision.Granted g -> attempt(run, g.slot());
            case SlotGate.Decision.Refused r -> noSlot(run, r);
        });
    }

    private Mono<Response> noSlot(Run run, SlotGate.Decision.Refused r) {
        Refusal refusal = new Refusal(FailurePoint.NO_CAPACITY, r.detail(), r.retryAfter());
        AttemptResult result = new AttemptResult.NotRun("acquire-slot", r.detail(), true);
        return finish(run, result, new Response.Content.Refused(refusal));
    }

    private Mono<Response> attempt(Run run, SlotGate.Slot slot) {
        run.server = slot.server();
        run.reason = slot.reason();
        run.tried.add(slot.server().name());
        run.attempts++;
        if (!run.claim.map(ClaimGate.Claim::canDispatch).orElse(true)) {
            AttemptResult expired = new AttemptResult.NotRun("check-claim", "the claim lapsed before the start", false);
            slot.release(expired);
            return finish(
                    run, expired, refused(FailurePoint.DEADLINE_BEFORE_DISPATCH, "the claim lapsed before the start"));
        }
        run.outcome.recordDispatch();
        gates.attempts().recordStart(slot.server(), run.request, run.digest);
        return client.attempt(slot.server(), run.request, run.headers, run.body)
                .doOnCancel(() -> {
                    var _ = endAttempt(
                                    run,
                                    slot,
                                    new AttemptResult.Uncertain("cancel", "the caller closed the connection", false))
                            .subscribe();
                })
                .flatMap(result -> completeAttempt(run, slot, result))
                .flatMap(result -> handleResult(run, result));
    }

    /** Ends the attempt immediately, or at the end of the content if the answer is streamed. */
    private Mono<AttemptResult> completeAttempt(Run run, SlotGate.Slot slot, AttemptResult result) {
        if (result instanceof AttemptResult.Answered(Answer.Streamed s)) {
            Flux<ByteBuf> content = s.content().doFinally(signal -> {
                var _ = endAttempt(run, slot, result).subscribe();
            });
            return Mono.just(new AttemptResult.Answered(new Answer.Streamed(s.status(), s.headers(), content)));
        }
        return endAttempt(run, slot, result).thenReturn(result);
    }

    private Mono<Void> endAttempt(Run run, SlotGate.Slot slot, AttemptResult result) {
        slot.release(result);
        return gates.attempts().recordEnd(slot.server(), run.request, run.digest, result);
    }

    private Mono<Response> handleResult(Run run, AttemptResult result) {
        return switch (result) {
            case AttemptResult.Answered a -> {
                run.outcome.recordAnswer();
                yield finish(run, a, new Response.Content.Answered(a.answer()));
            }
            case AttemptResult.NotRun n -> {
                FailurePoint point = failurePoint(n);
                boolean permitted =
                        n.shed() ? run.outcome.recordFailureAfterDispatch(point) : run.outcome.revertDispatch(point);
                yield retryOrFail(run, n, point, permitted, n.step() + ": " + n.detail());
            }
            case AttemptResult.Uncertain u -> {
                FailurePoint point = failurePoint(u);
                boolean permitted = run.outcome.recordFailureAfterDispatch(point) && isIdempotent(run.request);
                yield retryOrFail(run, u, point, permitted, u.step() + ": no whole answer came");
            }
        };
    }

    private Mono<Response> retryOrFail(
            Run run, AttemptResult result, FailurePoint point, boolean permitted, String detail) {
        return permitted && tryAcquireRetry(run, result)
                ? nextAttempt(run)
                : finish(run, result, refused(point, detail));
    }

    private static FailurePoint failurePoint(AttemptResult.NotRun n) {
        if (n.shed()) {
            return FailurePoint.SHED;
        }
        return n.step().equals(BackendClient.BEFORE_SEND)
                ? FailurePoint.DEADLINE_BEFORE_DISPATCH
                : FailurePoint.BACKEND_UNREACHABLE;
    }

    private static FailurePoint failurePoint(AttemptResult.Uncertain u) {
        if (u.timedOut()) {
            return FailurePoint.DEADLINE;
        }
        return u.step().equals(BackendClient.MATCH_ANSWER) ? FailurePoint.ANSWER_INVALID : FailurePoint.BACKEND_FAILED;
    }

    private boolean tryAcquireRetry(Run run, AttemptResult last) {
        return run.attempts < MAX_ATTEMPTS
                && run.body.isReplayable()
                && clock.monotonic().isBefore(run.request.deadline())
                && gates.attempts().tryAcquireRetry(run.request, run.digest, last);
    }

    /** Replaces a refusal that says NOT_RUN if an earlier attempt may have run the request. */
    private static Response.Content withProvenOutcome(Run run, Response.Content content) {
        boolean saysNotRun = content instanceof Response.Content.Refused(Refusal r)
                && r.reason().outcome() == Outcome.NOT_RUN;
        return saysNotRun && run.outcome.outcome() != Outcome.NOT_RUN
                ? refused(FailurePoint.BACKEND_FAILED, "an earlier attempt may have run")
                : content;
    }

    private static boolean isIdempotent(RequestContext request) {
        RouteClass c = request.route().routeClass();
        boolean safeMethod = SAFE_METHODS.contains(request.head().method());
        return c == RouteClass.READ || (c == RouteClass.QUEUE && safeMethod);
    }

    private static Response.Content refused(FailurePoint reason, String detail) {
        return new Response.Content.Refused(Refusal.of(reason, detail));
    }

    private static Mono<Response> finish(Run run, AttemptResult result, Response.Content decided) {
        Response.Content content = withProvenOutcome(run, decided);
        Optional<BackendServer> server = Optional.ofNullable(run.server);
        String reason = content instanceof Response.Content.Refused r
                ? r.refusal().reason().label()
                : run.reason;
        Response response = new Response(
                content,
                run.limits,
                server.map(s -> run.request.config().region(s.dataCentre())),
                server.map(BackendServer::name),
                reason,
                run.attempts);
        Mono<Void> ended = run.claim.map(c -> c.recordResult(result)).orElse(Mono.empty());
        return ended.thenReturn(response);
    }
}
