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
import org.lycheetray.daemon.http.HttpFrontendDependencies;
import org.lycheetray.daemon.lifecycle.Phase;
import org.lycheetray.daemon.log.LogEvent;
import org.lycheetray.daemon.request.FinishedRequest;
import org.lycheetray.daemon.request.Refusal;
import org.lycheetray.daemon.request.RequestContext;
import org.lycheetray.daemon.request.RequestHead;
import org.lycheetray.daemon.request.Response;
import reactor.core.publisher.Mono;
import reactor.core.publisher.SignalType;
import reactor.core.publisher.Sinks;
import reactor.netty.http.server.HttpServerRequest;
import reactor.netty.http.server.HttpServerResponse;

/** Handles callers' requests and reports each of them to the request observer exactly once. */
public final class RequestEndpoint {
    private static final int RADIX = 36;
    private static final String NO_REGION = "none";

    private final HttpFrontendDependencies dependencies;
    private final BodyReader bodyReader = new BodyReader();
    private final Sinks.Empty<Void> requestsEnded = Sinks.empty();
    private final AtomicLong lastRequestNumber = new AtomicLong();
    private final String idPrefix;

    /**
     * Creates the endpoint.
     *
     * @param dependencies the components that process requests
     */
    public RequestEndpoint(HttpFrontendDependencies dependencies) {
        this.dependencies = dependencies;
        this.idPrefix = dependencies.localIncarnation().vm() + "."
                + Long.toString(dependencies.localIncarnation().number(), RADIX) + ".";
    }

    /** State of one request, from its arrival until it has been reported to the observer. */
    private static final class Call {
        private final RequestHead head;
        private final Instant startTime;
        private final AtomicBoolean recorded = new AtomicBoolean();
        private Optional<RequestContext> context = Optional.empty();
        private Response response;

        Call(RequestHead head, Instant startTime) {
            this.head = head;
            this.startTime = startTime;
        }
    }

    /**
     * Processes a request and writes the response.
     *
     * @param req the request
     * @param res the response to write
     * @param path path of the URL, without the query string
     * @return completes when the response has been written
     */
    public Mono<Void> handle(HttpServerRequest req, HttpServerResponse res, String path) {
        Call call = new Call(createHead(req, path), dependencies.clock().instant());
        dependencies.lifecycle().recordRequestStart();
        return Mono.firstWithSignal(respond(req, call), interruption())
                .onErrorResume(e -> Mono.just(internalError(call, e)))
                .flatMap(response -> {
                    call.response = response;
                    return ResponseWriter.write(res, call.head.id(), localRegion(call), response);
                })
                .doFinally(signal -> finish(call, signal));
    }

    /** Ends the requests in progress whose responses have not begun, because the VM stops; they may have run. */
    public void endRequests() {
        var _ = requestsEnded.tryEmitEmpty();
    }

    private Mono<Response> interruption() {
        return requestsEnded
                .asMono()
                .then(refuse(Refusal.of(FailurePoint.INTERRUPTED, "this VM was stopped; the request may have run")));
    }

    private RequestHead createHead(HttpServerRequest req, String path) {
        RequestId id = new RequestId(idPrefix + Long.toString(lastRequestNumber.incrementAndGet(), RADIX));
        MonotonicTime now = dependencies.clock().monotonic();
        return new RequestHead(id, req.method().name(), req.uri(), path, req.requestHeaders(), now);
    }

    private Mono<Response> respond(HttpServerRequest req, Call call) {
        if (dependencies.lifecycle().phase().compareTo(Phase.DRAINING) >= 0) {
            return refuse(Refusal.of(FailurePoint.LEAVING, "this VM is leaving; ask another one"));
        }
        return dependencies.pipeline().prepare(call.head).fold(RequestEndpoint::refuse, context -> {
            call.context = Optional.of(context);
            return bodyReader
                    .read(req, context)
                    .flatMap(body -> dependencies.pipeline().run(context, body))
                    .onErrorResume(BodyReader.TooLargeException.class, RequestEndpoint::tooLarge);
        });
    }

    private static Mono<Response> refuse(Refusal refusal) {
        return Mono.just(Response.refused(refusal, Optional.empty()));
    }

    private static Mono<Response> tooLarge(BodyReader.TooLargeException e) {
        return e.isBodyLimitExceeded()
                ? refuse(Refusal.of(FailurePoint.BODY_TOO_LARGE, "the body is larger than the manifest allows"))
                : refuse(Refusal.of(FailurePoint.NO_CAPACITY, "this VM holds too many request bodies"));
    }

    private static Response internalError(Call call, Throwable e) {
        LogEvent.of("request-failed")
                .with("request", call.head.id())
                .with("step", "pipeline")
                .with("cause", e)
                .error();
        return Response.refused(Refusal.of(FailurePoint.INTERNAL, "internal error"), Optional.empty());
    }

    private String localRegion(Call call) {
        return call.context
                .map(RequestContext::config)
                .or(dependencies.config()::active)
                .flatMap(this::regionOfLocalVm)
                .orElse(NO_REGION);
    }

    private Optional<String> regionOfLocalVm(ActiveConfig config) {
        return config.vm(dependencies.localIncarnation().vm())
                .map(vm -> config.region(vm.dataCentre()).value());
    }

    private void finish(Call call, SignalType signal) {
        if (!call.recorded.compareAndSet(false, true)) {
            return;
        }
        dependencies.lifecycle().recordRequestEnd();
        dependencies.observer().onRequestFinished(toFinishedRequest(call, signal));
    }

    private FinishedRequest toFinishedRequest(Call call, SignalType signal) {
        boolean written = signal == SignalType.ON_COMPLETE;
        Optional<Response> response = Optional.ofNullable(call.response);
        Outcome outcome = response.map(RequestEndpoint::outcome).orElse(Outcome.UNKNOWN);
        boolean truncated = outcome == Outcome.ANSWERED && !written;
        String reason = response.map(Response::reason).orElse("caller-gone");
        return new FinishedRequest(
                call.startTime,
                call.head.id(),
                call.context.flatMap(RequestContext::account),
                call.context.map(RequestContext::route),
                truncated ? Outcome.UNKNOWN : outcome,
                truncated ? "answer-cut" : reason,
                call.context.map(c -> c.config().version()).orElse(ConfigVersion.NONE),
                response.flatMap(Response::region),
                response.flatMap(Response::server),
                response.map(Response::attempts).orElse(0),
                response.map(RequestEndpoint::status).orElse(0),
                dependencies.clock().monotonic().since(call.head.receivedAt()));
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
