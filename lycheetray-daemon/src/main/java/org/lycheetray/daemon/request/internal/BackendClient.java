package org.lycheetray.daemon.request.internal;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelOption;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.timeout.ReadTimeoutException;
import java.time.Duration;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeoutException;
import java.util.concurrent.atomic.AtomicBoolean;
import org.lycheetray.core.model.BackendServer;
import org.lycheetray.core.model.ClientAccountName;
import org.lycheetray.core.model.Endpoint;
import org.lycheetray.core.model.RouteClass;
import org.lycheetray.core.time.Clock;
import org.lycheetray.daemon.request.Answer;
import org.lycheetray.daemon.request.AttemptResult;
import org.lycheetray.daemon.request.Body;
import org.lycheetray.daemon.request.RequestBody;
import org.lycheetray.daemon.request.RequestContext;
import org.reactivestreams.Publisher;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;
import reactor.netty.Connection;
import reactor.netty.http.client.HttpClient;
import reactor.netty.http.client.HttpClientResponse;
import reactor.netty.resources.ConnectionProvider;

/**
 * Sends requests to backend servers and classifies how each attempt ended.
 *
 * <p>The HTTP library's own retry is switched off: it would send a request again whose first copy may have run.
 */
public final class BackendClient implements AutoCloseable {
    /** Largest answer that is held whole before it is passed on, in bytes. */
    public static final int HELD_ANSWER_BYTES = 64 * 1024;

    /** Largest answer to a {@code once} request that is held whole, in bytes. */
    public static final int HELD_ONCE_ANSWER_BYTES = 1024 * 1024;

    /** Step of an attempt whose deadline passed before anything was sent. */
    static final String BEFORE_SEND = "before-send";

    /** Step of an attempt whose answer names another request. */
    static final String MATCH_ANSWER = "match-answer";

    private static final Duration CONNECT_TIMEOUT = Duration.ofSeconds(1);
    private static final Duration STREAM_IDLE_LIMIT = Duration.ofSeconds(5);
    private static final Duration IDLE_LIMIT = Duration.ofSeconds(20);
    private static final int CONNECTIONS_PER_SERVER = 32;
    private static final int STATUS_UNAVAILABLE = 503;

    private final Clock clock;
    private final Map<Endpoint, HttpClient> clients = new ConcurrentHashMap<>();
    private final ConnectionProvider connections = ConnectionProvider.builder("backend")
            .maxConnections(CONNECTIONS_PER_SERVER)
            .pendingAcquireMaxCount(CONNECTIONS_PER_SERVER)
            .pendingAcquireTimeout(CONNECT_TIMEOUT)
            .maxIdleTime(IDLE_LIMIT)
            .lifo()
            .build();

    /**
     * Creates a client without connections.
     *
     * @param clock clock for deadlines
     */
    public BackendClient(Clock clock) {
        this.clock = clock;
    }

    /**
     * Makes one attempt.
     *
     * @param server backend server to use
     * @param request the request
     * @param headers headers for the backend server, without the caller's key
     * @param body its body
     * @return how the attempt ended; never an error
     */
    public Mono<AttemptResult> attempt(
            BackendServer server, RequestContext request, HttpHeaders headers, RequestBody body) {
        Duration left = request.deadline().since(clock.monotonic());
        if (left.isNegative() || left.isZero()) {
            return Mono.just(new AttemptResult.NotRun(BEFORE_SEND, "deadline passed", false));
        }
        AtomicBoolean sent = new AtomicBoolean();
        return client(server.endpoint())
                .headers(h -> fill(h, request, headers, left))
                .headers(h -> length(h, body))
                .doOnRequest((req, c) -> sent.set(true))
                .request(HttpMethod.valueOf(request.head().method()))
                .uri(request.head().uri())
                .send(content(body))
                .responseConnection((res, c) -> result(res, c, request))
                .next()
                .timeout(left)
                .onErrorResume(e -> Mono.just(failure(e, sent.get(), server)));
    }

    private HttpClient client(Endpoint endpoint) {
        return clients.computeIfAbsent(
                endpoint,
                e -> HttpClient.create(connections)
                        .host(e.host())
                        .port(e.port())
                        .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, (int) CONNECT_TIMEOUT.toMillis())
                        .option(ChannelOption.TCP_NODELAY, true)
                        .disableRetry(true)
                        .followRedirect(false)
                        .compress(false));
    }

    private static void fill(HttpHeaders h, RequestContext request, HttpHeaders headers, Duration left) {
        h.remove(HttpHeaderNames.USER_AGENT);
        h.add(headers);
        h.set(HeaderUtil.REQUEST_ID, request.id().value());
        h.set(HeaderUtil.DEADLINE_MS, left.toMillis());
        request.account().map(ClientAccountName::value).ifPresent(a -> h.set(HeaderUtil.ACCOUNT, a));
    }

    /** Declares the length of a streamed body, so that the backend server notices a body that breaks off. */
    private static void length(HttpHeaders h, RequestBody body) {
        if (body instanceof RequestBody.Streamed s && s.declaredLength() >= 0) {
            h.set(HttpHeaderNames.CONTENT_LENGTH, Long.toString(s.declaredLength()));
        }
    }

    private static Publisher<ByteBuf> content(RequestBody body) {
        return switch (body) {
            case RequestBody.Held h -> held(h.body());
            case RequestBody.Streamed s -> s.content();
        };
    }

    private static Mono<ByteBuf> held(Body body) {
        return body.bytes().length == 0 ? Mono.empty() : Mono.fromSupplier(() -> Unpooled.wrappedBuffer(body.bytes()));
    }

    private static Mono<AttemptResult> result(HttpClientResponse res, Connection c, RequestContext request) {
        int status = res.status().code();
        HttpHeaders headers = HeaderUtil.forCaller(res.responseHeaders());
        String echoed = res.responseHeaders().get(HeaderUtil.REQUEST_ID);
        if (echoed != null && !echoed.equals(request.id().value())) {
            c.dispose();
            return Mono.just(new AttemptResult.Uncertain(MATCH_ANSWER, "answer to another request", false));
        }
        if (status == STATUS_UNAVAILABLE && res.responseHeaders().contains(HeaderUtil.NOT_RUN)) {
            return c.inbound()
                    .receive()
                    .then(Mono.just(new AttemptResult.NotRun("answer", "shed by the backend server", true)));
        }
        if (isHeld(res, request)) {
            return c.inbound()
                    .receive()
                    .aggregate()
                    .asByteArray()
                    .defaultIfEmpty(Body.EMPTY.bytes())
                    .map(bytes -> new AttemptResult.Answered(new Answer.Whole(status, headers, new Body(bytes))));
        }
        Flux<ByteBuf> content = c.inbound()
                .receive()
                .retain()
                .timeout(STREAM_IDLE_LIMIT)
                .doOnError(e -> c.dispose())
                .doOnCancel(c::dispose);
        return Mono.just(new AttemptResult.Answered(new Answer.Streamed(status, headers, content)));
    }

    private static boolean isHeld(HttpClientResponse res, RequestContext request) {
        boolean once = request.route().routeClass() == RouteClass.ONCE;
        long limit = once ? HELD_ONCE_ANSWER_BYTES : HELD_ANSWER_BYTES;
        long length = declaredLength(res);
        boolean bodiless = request.head().method().equals("HEAD")
                || res.status().code() == 204
                || res.status().code() == 304;
        return bodiless || (length >= 0 && length <= limit);
    }

    private static long declaredLength(HttpClientResponse res) {
        String length = res.responseHeaders().get(HttpHeaderNames.CONTENT_LENGTH);
        try {
            return length == null ? -1 : Long.parseLong(length);
        } catch (NumberFormatException e) {
            return -1;
        }
    }

    private static AttemptResult failure(Throwable e, boolean sent, BackendServer server) {
        String detail = "peer=" + server.name() + ": " + e.getClass().getSimpleName() + " " + e.getMessage();
        if (!sent) {
            return new AttemptResult.NotRun("connect", detail, false);
        }
        boolean timedOut = e instanceof TimeoutException || e instanceof ReadTimeoutException;
        return new AttemptResult.Uncertain("await-answer", detail, timedOut);
    }

    @Override
    public void close() {
        connections.dispose();
    }
}
