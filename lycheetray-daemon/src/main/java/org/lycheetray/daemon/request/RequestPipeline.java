package org.lycheetray.daemon.request;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.vavr.control.Either;
import java.time.Duration;
import java.util.Optional;
import org.lycheetray.core.model.ClientAccountName;
import org.lycheetray.core.model.KeyHash;
import org.lycheetray.core.model.Route;
import org.lycheetray.core.model.RouteClass;
import org.lycheetray.core.once.FailurePoint;
import org.lycheetray.core.time.Clock;
import org.lycheetray.daemon.config.ActiveConfig;
import org.lycheetray.daemon.request.internal.AttemptLoop;
import org.lycheetray.daemon.request.internal.BackendClient;
import org.lycheetray.daemon.request.internal.HeaderUtil;
import reactor.core.publisher.Mono;

/**
 * Processes a request from its head to its response.
 *
 * <p>{@link #prepare} uses only the head, so that a request can be refused before any byte of its body is buffered;
 * {@link #run} does the rest.
 */
public final class RequestPipeline {
    private static final String BEARER = "bearer ";
    private static final int MAX_IDEMPOTENCY_KEY_LENGTH = 255;

    private final RequestGates gates;
    private final AttemptLoop attempts;

    /**
     * Creates a pipeline.
     *
     * @param gates the decision points
     * @param client sends requests to backend servers
     * @param clock clock used for deadlines
     */
    public RequestPipeline(RequestGates gates, BackendClient client, Clock clock) {
        this.gates = gates;
        this.attempts = new AttemptLoop(gates, client, clock);
    }

    /**
     * Determines the route, client account and deadline of a request.
     *
     * @param head the request's head
     * @return the request with its context, or a refusal
     */
    public Either<Refusal, RequestContext> prepare(RequestHead head) {
        Optional<ActiveConfig> config = gates.config().active();
        if (config.isEmpty()) {
            return refuse(FailurePoint.NOT_CONFIGURED, "this VM has not learnt a configuration yet");
        }
        String host = head.headers().get(HttpHeaderNames.HOST, "");
        Optional<Route> route = config.get().routes().find(host, head.path());
        if (route.isEmpty()) {
            return refuse(FailurePoint.UNKNOWN_ROUTE, "no route for " + head.path());
        }
        return authenticate(head, route.get())
                .flatMap(account -> createContext(head, config.get(), route.get(), account));
    }

    /**
     * Runs a prepared request.
     *
     * @param request the request
     * @param body its body; must be buffered if the route is of class {@code once}
     * @return the response; the Mono never signals an error
     */
    public Mono<Response> run(RequestContext request, RequestBody body) {
        String digest = body.digest(request.head().method(), request.head().uri());
        Optional<Refusal> quarantined = gates.attempts().checkQuarantine(request, digest);
        if (quarantined.isPresent()) {
            return Mono.just(Response.refused(quarantined.get(), Optional.empty()));
        }
        if (request.account().isEmpty()) {
            return claim(request, body, digest, Optional.empty());
        }
        return gates.admission().admit(request).flatMap(d -> switch (d) {
            case AdmissionGate.Decision.Admitted a -> claim(request, body, digest, Optional.of(a.limits()));
            case AdmissionGate.Decision.OverRate o ->
                Mono.just(Response.refused(
                        Refusal.withRetryAfter(
                                FailurePoint.OVER_RATE,
                                "the client account is over its rate and burst",
                                o.retryAfter()),
                        Optional.of(o.limits())));
        });
    }

    private Mono<Response> claim(RequestContext request, RequestBody body, String digest, Optional<RateLimits> limits) {
        if (request.route().routeClass() != RouteClass.ONCE) {
            return attempts.run(request, body, digest, limits, Optional.empty());
        }
        Mono<Response> response = gates.claims().claim(request, digest).flatMap(d -> switch (d) {
            case ClaimGate.Decision.Run run -> attempts.run(request, body, digest, limits, Optional.of(run.claim()));
            case ClaimGate.Decision.Replay r -> Mono.just(replayedResponse(r.answer(), limits));
            case ClaimGate.Decision.Refused r -> Mono.just(Response.refused(r.refusal(), limits));
        });
        return detachFromCaller(response);
    }

    /** Continues a claimed request after the caller disconnects, so that its outcome is recorded. */
    private static Mono<Response> detachFromCaller(Mono<Response> response) {
        Mono<Response> shared = response.cache();
        shared.subscribe(r -> {}, e -> {});
        return shared;
    }

    private static Response replayedResponse(Answer.Buffered answer, Optional<RateLimits> limits) {
        return new Response(
                new Response.Content.Answered(answer), limits, Optional.empty(), Optional.empty(), "replayed", 0);
    }

    private Either<Refusal, Optional<ClientAccountName>> authenticate(RequestHead head, Route route) {
        if (route.open()) {
            return Either.right(Optional.empty());
        }
        Optional<String> key = bearerToken(head.headers());
        if (key.isEmpty()) {
            return refuse(FailurePoint.NO_KEY, "this route needs an Authorization header: Bearer KEY");
        }
        if (head.uri().contains(key.get())) {
            return refuse(FailurePoint.KEY_EXPOSED, "the key must not stand in the URL");
        }
        if (!gates.config().isFreshEnoughFor(route.routeClass())) {
            return refuse(FailurePoint.STALE_CONFIG, "this VM cannot check keys while it is cut off");
        }
        Optional<ClientAccountName> account = gates.config().account(KeyHash.of(key.get()));
        if (account.isEmpty()) {
            return refuse(FailurePoint.UNKNOWN_KEY, "the key is not valid");
        }
        return Either.right(account);
    }

    /**
     * Returns the key from the Authorization header with the Bearer scheme.
     *
     * @param headers headers of a caller's request
     * @return the key, or empty if the header is missing or has another scheme
     */
    public static Optional<String> bearerToken(HttpHeaders headers) {
        String value = headers.get(HttpHeaderNames.AUTHORIZATION, "");
        if (!value.regionMatches(true, 0, BEARER, 0, BEARER.length())) {
            return Optional.empty();
        }
        return Optional.of(value.substring(BEARER.length()).strip()).filter(k -> !k.isEmpty());
    }

    private static Either<Refusal, RequestContext> createContext(
            RequestHead head, ActiveConfig config, Route route, Optional<ClientAccountName> account) {
        Optional<String> idempotencyKey = Optional.ofNullable(head.headers().get(HeaderUtil.IDEMPOTENCY_KEY));
        if (route.routeClass() == RouteClass.ONCE && idempotencyKey.isEmpty()) {
            return refuse(FailurePoint.NO_IDEMPOTENCY_KEY, "this route needs an Idempotency-Key header");
        }
        if (idempotencyKey
                .filter(k -> k.isBlank() || k.length() > MAX_IDEMPOTENCY_KEY_LENGTH)
                .isPresent()) {
            return refuse(
                    FailurePoint.BAD_HEADER,
                    "an Idempotency-Key has 1 to " + MAX_IDEMPOTENCY_KEY_LENGTH + " characters");
        }
        Duration timeout = config.service(route.service()).timeout();
        return parseTimeout(head.headers(), timeout)
                .map(d -> new RequestContext(
                        head,
                        config,
                        route,
                        account,
                        idempotencyKey,
                        head.receivedAt().plus(d)));
    }

    private static Either<Refusal, Duration> parseTimeout(HttpHeaders headers, Duration timeout) {
        String text = headers.get(HeaderUtil.DEADLINE_MS);
        if (text == null) {
            return Either.right(timeout);
        }
        try {
            long ms = Long.parseLong(text.strip());
            if (ms > 0) {
                return Either.right(Duration.ofMillis(Math.min(ms, timeout.toMillis())));
            }
        } catch (NumberFormatException e) {
            return badDeadline();
        }
        return badDeadline();
    }

    private static Either<Refusal, Duration> badDeadline() {
        return refuse(FailurePoint.BAD_HEADER, HeaderUtil.DEADLINE_MS + " is a positive number of milliseconds");
    }

    private static <T> Either<Refusal, T> refuse(FailurePoint reason, String detail) {
        return Either.left(Refusal.of(reason, detail));
    }
}
