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
import org.lycheetray.daemon.limit.HeadBudget;
import org.lycheetray.daemon.request.Answer;
import org.lycheetray.daemon.request.AttemptResult;
import org.lycheetray.daemon.request.Body;
import org.lycheetray.daemon.request.RequestBody;
import org.lycheetray.daemon.request.RequestContext;
import org.lycheetray.daemon.request.StatusUtil;
import org.reactivestreams.Publisher;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;
import reactor.netty.Connection;
import reactor.netty.http.client.HttpClient;
import reactor.netty.http.client.HttpClientResponse;
import reactor.netty.resources.ConnectionProvider;

/**
 * HTTP client for backend servers that classifies the result of each attempt.
 *
 * <p>The built-in retry of the HTTP library is disabled, because it could send a request again that has already run.
 */
public final class BackendClient implements AutoCloseable {
    /** Maximum declared length of an answer that is buffered before it is forwarded, in bytes; others are streamed. */
    public static final int MAX_BUFFERED_ANSWER_BYTES = 64 * 1024;

    /** Maximum declared length of a buffered answer to a {@code once} request, in bytes; others are streamed. */
    public static final int MAX_BUFFERED_ONCE_ANSWER_BYTES = 1024 * 1024;

    /** Step of an attempt whose deadline passed before the request was sent. */
    static final String BEFORE_SEND = "before-send";

    /** Step of an attempt whose answer has the id of another request. */
    static final String MATCH_ANSWER = "match-answer";

    /** Step of an attempt whose answer has a status that is not one of a final answer. */
    static final String READ_STATUS = "read-status";

    private static final Duration CONNECT_TIMEOUT = Duration.ofSeconds(1);
    private static final Duration STREAM_IDLE_TIMEOUT = Duration.ofSeconds(5);
    private static final Duration MAX_CONNECTION_IDLE = Duration.ofSeconds(20);
    private static final int MAX_CONNECTIONS_PER_SERVER = 32;
    private static final int STATUS_UNAVAILABLE = 503;

    /** Share of the heap for the heads of answers. */
    private static final double HEAD_SHARE = 1.0 / 8;

    private final Clock clock;
    private final HeadBudget answerHeads =
            new HeadBudget((long) (Runtime.getRuntime().maxMemory() * HEAD_SHARE));
    private final Map<Endpoint, HttpClient> clients = new ConcurrentHashMap<>();
    private final ConnectionProvider connections = ConnectionProvider.builder("backend")
            .maxConnections(MAX_CONNECTIONS_PER_SERVER)
            .pendingAcquireMaxCount(MAX_CONNECTIONS_PER_SERVER)
            .pendingAcquireTimeout(CONNECT_TIMEOUT)
            .maxIdleTime(MAX_CONNECTION_IDLE)
            .lifo()
            .build();

    /**
     * Creates a client; connections are opened on demand.
     *
     * @param clock clock used for deadlines
     */
    public BackendClient(Clock clock) {
        this.clock = clock;
    }

    /**
     * Sends a request to a backend server once.
     *
     * @param server the backend server
     * @param request the request
     * @param headers headers for the backend server, without the caller's key
     * @param body its body
     * @return result of the attempt; the Mono never signals an error
     */
    public Mono<AttemptResult> attempt(
            BackendServer server, RequestContext request, HttpHeaders headers, RequestBody body) {
        Duration remaining = request.deadline().since(clock.monotonic());
        if (remaining.isNegative() || remaining.isZero()) {
            return Mono.just(new AttemptResult.NotRun(BEFORE_SEND, "deadline passed", false));
        }
        AtomicBoolean sent = new AtomicBoolean();
        return client(server.endpoint())
                .headers(h -> setHeaders(h, request, headers, remaining))
                .headers(h -> setContentLength(h, body))
                .doOnRequest((req, c) -> sent.set(true))
                .request(HttpMethod.valueOf(request.head().method()))
                .uri(request.head().uri())
                .send(content(body))
                .responseConnection((res, c) -> readResult(res, c, request))
                .next()
                .timeout(remaining)
                .onErrorResume(e -> Mono.just(classifyFailure(e, sent.get(), server)));
    }

    private HttpClient client(Endpoint endpoint) {
        return clients.computeIfAbsent(
                endpoint,
                e -> HttpClient.create(connections)
                        .host(e.host())
                        .port(e.port())
                        .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, (int) CONNECT_TIMEOUT.toMillis())
                        .option(ChannelOption.TCP_NODELAY, true)
                        .doOnChannelInit((_, channel, _) -> AnswerHeads.install(channel, answerHeads))
                        .disableRetry(true)
                        .followRedirect(false)
                        .compress(false));
    }

    private static void setHeaders(HttpHeaders h, RequestContext request, HttpHeaders headers, Duration remaining) {
        h.remove(HttpHeaderNames.USER_AGENT);
        h.add(headers);
        h.set(HeaderUtil.REQUEST_ID, request.id().value());
        h.set(HeaderUtil.DEADLINE_MS, remaining.toMillis());
        request.account().map(ClientAccountName::value).ifPresent(a -> h.set(HeaderUtil.ACCOUNT, a));
    }

    /** Sets the length of a streamed body, so that the backend server can detect a truncated body. */
    private static void setContentLength(HttpHeaders h, RequestBody body) {
        if (body instanceof RequestBody.Streamed s && s.declaredLength() >= 0) {
            h.set(HttpHeaderNames.CONTENT_LENGTH, Long.toString(s.declaredLength()));
        }
    }

    private static Publisher<ByteBuf> content(RequestBody body) {
        return switch (body) {
            case RequestBody.Buffered h -> buffered(h.body());
            case RequestBody.Streamed s -> s.content();
        };
    }

    private static Mono<ByteBuf> buffered(Body body) {
        return body.bytes().length == 0 ? Mono.empty() : Mono.fromSupplier(() -> Unpooled.wrappedBuffer(body.bytes()));
    }

    private static Mono<AttemptResult> readResult(HttpClientResponse res, Connection c, RequestContext request) {
        int status = res.status().code();
        HttpHeaders headers = HeaderUtil.copyForCaller(res.responseHeaders());
        String echoed = res.responseHeaders().get(HeaderUtil.REQUEST_ID);
        if (echoed != null && !echoed.equals(request.id().value())) {
            c.dispose();
            return Mono.just(
                    new AttemptResult.Uncertain(MATCH_ANSWER, "the answer has the id of another request", false));
        }
        if (!StatusUtil.isFinal(status)) {
            c.dispose();
            return Mono.just(new AttemptResult.Uncertain(READ_STATUS, "the answer has the status " + status, false));
        }
        if (status == STATUS_UNAVAILABLE && res.responseHeaders().contains(HeaderUtil.NOT_RUN)) {
            return c.inbound()
                    .receive()
                    .then(Mono.just(new AttemptResult.NotRun("answer", "shed by the backend server", true)));
        }
        if (isBuffered(res, request)) {
            return c.inbound()
                    .receive()
                    .aggregate()
                    .asByteArray()
                    .defaultIfEmpty(Body.EMPTY.bytes())
                    .map(bytes -> new AttemptResult.Answered(new Answer.Buffered(status, headers, new Body(bytes))));
        }
        Flux<ByteBuf> content = c.inbound()
                .receive()
                .retain()
                .timeout(STREAM_IDLE_TIMEOUT)
                .doOnError(e -> c.dispose())
                .doOnCancel(c::dispose);
        return Mono.just(new AttemptResult.Answered(new Answer.Streamed(status, headers, content)));
    }

    private static boolean isBuffered(HttpClientResponse res, RequestContext request) {
        boolean once = request.route().routeClass() == RouteClass.ONCE;
        long limit = once ? MAX_BUFFERED_ONCE_ANSWER_BYTES : MAX_BUFFERED_ANSWER_BYTES;
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

    private static AttemptResult classifyFailure(Throwable e, boolean sent, BackendServer server) {
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
