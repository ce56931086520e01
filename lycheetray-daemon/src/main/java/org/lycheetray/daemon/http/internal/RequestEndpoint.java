package org.lycheetray.daemon.http.internal;

import java.time.Instant;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicLong;
import org.lycheetray.core.model.ConfigVersion;
import org.lycheetray.core.model.Outcome;
import org.lycheetray.core.model.RequestId;
import org.lycheetray.core.once.FailurePoint;
import org.lycheetray.core.time.MonotonicTime;
import org.lycheetray.daemon.config.ActiveConfig;
import org.lycheetray.daemon.http.HttpFrontParts;
import org.lycheetray.daemon.lifecycle.Phase;
import org.lycheetray.daemon.log.LogEvent;
import org.lycheetray.daemon.request.FinishedRequest;
import org.lycheetray.daemon.request.Refusal;
import org.lycheetray.daemon.request.RequestContext;
import org.lycheetray.daemon.request.RequestHead;
import org.lycheetray.daemon.request.Response;
import reactor.core.publisher.Mono;
import reactor.core.publisher.SignalType;
import reactor.netty.http.server.HttpServerRequest;
import reactor.netty.http.server.HttpServerResponse;

/** Takes callers' requests, runs them and accounts for each of them once. */
public final class RequestEndpoint {
    private static final int RADIX = 36;
    private static final String NO_REGION = "none";

    private final HttpFrontParts parts;
    private final BodyReader bodies = new BodyReader();
    private final AtomicLong numbers = new AtomicLong();
    private final String idPrefix;

    /**
     * Creates the endpoint.
     *
     * @param parts what it uses
     */
    public RequestEndpoint(HttpFrontParts parts) {
        this.parts = parts;
        this.idPrefix = parts.self().vm() + "." + Long.toString(parts.self().number(), RADIX) + ".";
    }

    /** One request from arrival to its ledger line. */
    private static final class Call {
        private final RequestHead head;
        private final Instant time;
        private final AtomicBoolean accounted = new AtomicBoolean();
        private Optional<RequestContext> context = Optional.empty();
        private Response response;

        Call(RequestHead head, Instant time) {
            this.head = head;
            this.time = time;
        }
    }

    /**
     * Handles a request.
     *
     * @param req the request
     * @param res where to write
     * @param path path without the query
     * @return completes when the response is written
     */
    public Mono<Void> handle(HttpServerRequest req, HttpServerResponse res, String path) {
        Call call = new Call(head(req, path), parts.clock().instant());
        parts.lifecycle().began();
        return respond(req, call)
                .onErrorResume(e -> Mono.just(failed(call, e)))
                .flatMap(response -> {
                    call.response = response;
                    return ResponseWriter.write(res, call.head.id(), ownRegion(call), response);
                })
                .doFinally(signal -> finish(call, signal));
    }

    private RequestHead head(HttpServerRequest req, String path) {
        RequestId id = new RequestId(idPrefix + Long.toString(numbers.incrementAndGet(), RADIX));
        MonotonicTime now = parts.clock().monotonic();
        return new RequestHead(id, req.method().name(), req.uri(), path, req.requestHeaders(), now);
    }

    private Mono<Response> respond(HttpServerRequest req, Call call) {
        if (parts.lifecycle().phase().compareTo(Phase.DRAINING) >= 0) {
            return refuse(Refusal.of(FailurePoint.LEAVING, "this VM is leaving; ask another one"));
        }
        return parts.pipeline().prepare(call.head).fold(RequestEndpoint::refuse, context -> {
            call.context = Optional.of(context);
            return bodies.read(req, context)
                    .flatMap(body -> parts.pipeline().run(context, body))
                    .onErrorResume(BodyReader.TooLargeException.class, RequestEndpoint::tooLarge);
        });
    }

    private static Mono<Response> refuse(Refusal refusal) {
        return Mono.just(Response.refused(refusal, Optional.empty()));
    }

    private static Mono<Response> tooLarge(BodyReader.TooLargeException e) {
        return e.isAlone()
                ? refuse(Refusal.of(FailurePoint.BODY_TOO_LARGE, "the body is larger than the manifest allows"))
                : refuse(Refusal.of(FailurePoint.NO_CAPACITY, "this VM holds too many request bodies"));
    }

    private static Response failed(Call call, Throwable e) {
        LogEvent.of("request-failed")
                .with("request", call.head.id())
                .with("step", "pipeline")
                .with("cause", e)
                .error();
        return Response.refused(Refusal.of(FailurePoint.INTERNAL, "internal error"), Optional.empty());
    }

    private String ownRegion(Call call) {
        return call.context
                .map(RequestContext::config)
                .or(parts.config()::active)
                .flatMap(this::regionOfSelf)
                .orElse(NO_REGION);
    }

    private Optional<String> regionOfSelf(ActiveConfig config) {
        return config.vm(parts.self().vm())
                .map(vm -> config.region(vm.dataCentre()).value());
    }

    private void finish(Call call, SignalType signal) {
        if (!call.accounted.compareAndSet(false, true)) {
            return;
        }
        parts.lifecycle().ended();
        parts.observer().finished(finished(call, signal));
    }

    private FinishedRequest finished(Call call, SignalType signal) {
        boolean written = signal == SignalType.ON_COMPLETE;
        Optional<Response> response = Optional.ofNullable(call.response);
        Outcome outcome = response.map(RequestEndpoint::outcome).orElse(Outcome.UNKNOWN);
        boolean cut = outcome == Outcome.ANSWERED && !written;
        String reason = response.map(Response::reason).orElse("caller-gone");
        return new FinishedRequest(
                call.time,
                call.head.id(),
                call.context.flatMap(RequestContext::account),
                call.context.map(RequestContext::route),
                cut ? Outcome.UNKNOWN : outcome,
                cut ? "answer-cut" : reason,
                call.context.map(c -> c.config().version()).orElse(ConfigVersion.NONE),
                response.flatMap(Response::region),
                response.flatMap(Response::server),
                response.map(Response::attempts).orElse(0),
                response.map(RequestEndpoint::status).orElse(0),
                parts.clock().monotonic().since(call.head.received()));
    }

    private static Outcome outcome(Response response) {
        return switch (response.content()) {
            case Response.Content.Answered a -> Outcome.ANSWERED;
            case Response.Content.Refused r -> r.refusal().reason().outcome();
        };
    }

    private static int status(Response response) {
        return switch (response.content()) {
            case Response.Content.Answered a -> a.answer().status();
            case Response.Content.Refused r -> r.refusal().reason().status();
        };
    }
}
