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

/** Tries backend servers until one answers, the request may have run, or nothing is left to try. */
public final class AttemptLoop {
    private static final int MAX_ATTEMPTS = 3;
    private static final Set<String> SAFE_METHODS = Set.of("GET", "HEAD", "OPTIONS");

    private final RequestGates gates;
    private final BackendClient client;
    private final Clock clock;

    /**
     * Creates a loop.
     *
     * @param gates the decisions
     * @param client sends requests to backend servers
     * @param clock clock for deadlines
     */
    public AttemptLoop(RequestGates gates, BackendClient client, Clock clock) {
        this.gates = gates;
        this.client = client;
        this.clock = clock;
    }

    /** One request on its way through its attempts; used by one attempt at a time. */
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
            String key = RequestPipeline.key(request.head().headers()).orElse("");
            this.headers = HeaderUtil.forBackend(request.head().headers(), key);
        }
    }

    /**
     * Runs a request that has been admitted and, where needed, claimed.
     *
     * @param request the request
     * @param body its body
     * @param digest identity of its content
     * @param limits state of the client account's rate
     * @param claim the claim to end, empty unless the route is of class {@code once}
     * @return the response
     */
    public Mono<Response> run(
            RequestContext request,
            RequestBody body,
            String digest,
            Optional<RateLimits> limits,
            Optional<ClaimGate.Claim> claim) {
        Run run = new Run(request, body, digest, limits, claim);
        return next(run).onErrorResume(e -> broken(run, e));
    }

    private static Mono<Response> broken(Run run, Throwable e) {
        LogEvent.of("attempt-broken")
                .with("request", run.request.id())
                .with("step", "attempt-loop")
                .with("cause", e)
                .error();
        AttemptResult result = new AttemptResult.Uncertain("attempt-loop", "internal error", false);
        return finish(run, result, refused(FailurePoint.INTERNAL, "internal error"));
    }

    private Mono<Response> next(Run run) {
        Set<BackendServerName> avoided = new HashSet<>(run.tried);
        avoided.addAll(gates.attempts().avoid(run.digest));
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
        if (!run.claim.map(ClaimGate.Claim::mayDispatch).orElse(true)) {
            AttemptResult lapsed = new AttemptResult.NotRun("check-claim", "the claim lapsed before the start", false);
            slot.release(lapsed);
            return finish(
                    run, lapsed, refused(FailurePoint.DEADLINE_BEFORE_DISPATCH, "the claim lapsed before the start"));
        }
        run.outcome.recordDispatch();
        gates.attempts().started(slot.server(), run.request, run.digest);
        return client.attempt(slot.server(), run.request, run.headers, run.body)
                .doOnCancel(() -> {
                    var _ = ended(run, slot, new AttemptResult.Uncertain("cancel", "the caller went away", false))
                            .subscribe();
                })
                .flatMap(result -> settled(run, slot, result))
                .flatMap(result -> decide(run, result));
    }

    /** Ends the attempt; that of a streamed answer ends with its content. */
    private Mono<AttemptResult> settled(Run run, SlotGate.Slot slot, AttemptResult result) {
        if (result instanceof AttemptResult.Answered(Answer.Streamed s)) {
            Flux<ByteBuf> content = s.content().doFinally(signal -> {
                var _ = ended(run, slot, result).subscribe();
            });
            return Mono.just(new AttemptResult.Answered(new Answer.Streamed(s.status(), s.headers(), content)));
        }
        return ended(run, slot, result).thenReturn(result);
    }

    private Mono<Void> ended(Run run, SlotGate.Slot slot, AttemptResult result) {
        slot.release(result);
        return gates.attempts().ended(slot.server(), run.request, run.digest, result);
    }

    private Mono<Response> decide(Run run, AttemptResult result) {
        return switch (result) {
            case AttemptResult.Answered a -> {
                run.outcome.recordAnswer();
                yield finish(run, a, new Response.Content.Answered(a.answer()));
            }
            case AttemptResult.NotRun n -> {
                FailurePoint point = pointOf(n);
                boolean permitted =
                        n.shed() ? run.outcome.recordFailureAfterDispatch(point) : run.outcome.revertDispatch(point);
                yield failed(run, n, point, permitted, n.step() + ": " + n.detail());
            }
            case AttemptResult.Uncertain u -> {
                FailurePoint point = pointOf(u);
                boolean permitted = run.outcome.recordFailureAfterDispatch(point) && isIdempotent(run.request);
                yield failed(run, u, point, permitted, u.step() + ": no whole answer came");
            }
        };
    }

    private Mono<Response> failed(Run run, AttemptResult result, FailurePoint point, boolean permitted, String detail) {
        return permitted && mayRetry(run, result) ? next(run) : finish(run, result, refused(point, detail));
    }

    private static FailurePoint pointOf(AttemptResult.NotRun n) {
        if (n.shed()) {
            return FailurePoint.SHED;
        }
        return n.step().equals(BackendClient.BEFORE_SEND)
                ? FailurePoint.DEADLINE_BEFORE_DISPATCH
                : FailurePoint.BACKEND_UNREACHABLE;
    }

    private static FailurePoint pointOf(AttemptResult.Uncertain u) {
        if (u.timedOut()) {
            return FailurePoint.DEADLINE;
        }
        return u.step().equals(BackendClient.MATCH_ANSWER) ? FailurePoint.ANSWER_INVALID : FailurePoint.BACKEND_FAILED;
    }

    private boolean mayRetry(Run run, AttemptResult last) {
        return run.attempts < MAX_ATTEMPTS
                && run.body.isReplayable()
                && clock.monotonic().isBefore(run.request.deadline())
                && gates.attempts().mayRetry(run.request, run.digest, last);
    }

    /** A refusal says not run only if that is proved of all attempts. */
    private static Response.Content truthful(Run run, Response.Content content) {
        boolean promises = content instanceof Response.Content.Refused(Refusal r)
                && r.reason().outcome() == Outcome.NOT_RUN;
        return promises && run.outcome.outcome() != Outcome.NOT_RUN
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
        Response.Content content = truthful(run, decided);
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
        Mono<Void> ended = run.claim.map(c -> c.end(result)).orElse(Mono.empty());
        return ended.thenReturn(response);
    }
}
