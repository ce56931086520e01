package org.lycheetray.edge.backend;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.DecoderException;
import io.netty.handler.codec.http.DefaultHttpRequest;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import java.io.IOException;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.stream.Stream;
import org.lycheetray.core.allowance.RateStatement;
import org.lycheetray.core.registry.RegisteredServer;
import org.lycheetray.core.time.Clock;
import org.lycheetray.core.time.MonotonicTime;
import org.lycheetray.daemon.request.Body;
import org.lycheetray.edge.BodyBuffer;
import org.lycheetray.edge.BodyWriter;
import org.lycheetray.edge.MemoryBudget;
import org.lycheetray.edge.dialect.BackendDialect;

/**
 * A connection to a backend server that carries one request at a time.
 *
 * <p>Servers may send duplicate, late, truncated or malformed answers. An answer is accepted only if it is complete and
 * carries the identifier of the request sent last, or refuses the first request of the connection, and if no second
 * answer begins inside its body. A connection on which anything else arrived is not reused.
 */
final class BackendConnection extends ChannelInboundHandlerAdapter {
    /** Largest answer body that is buffered, in bytes; a larger one fails the attempt. */
    private static final int MAX_BODY_BYTES = 32 << 20;

    /** Largest number of bytes that are skipped between two bytes of an answer, such as interim answers. */
    private static final int MAX_SKIPPED_BYTES = 1 << 20;

    /** Share of the announced idle timeout in which a connection is reused, so that no request meets its closing. */
    private static final double IDLE_TIMEOUT_SHARE = 0.6;

    /** Time for which an idle connection is reused if the server announces no timeout. */
    private static final Duration DEFAULT_IDLE_TIMEOUT = Duration.ofSeconds(4);

    private static final String KEEP_ALIVE_PARAMETERS = "keep-alive";
    private static final String TIMEOUT_PARAMETER = "timeout=";

    private final Channel channel;
    private final ResponseDecoder decoder = new ResponseDecoder(this::reserveLine);
    private final BackendDialect dialect;
    private final EmbeddedAnswerFinder embeddedAnswers;
    private final Clock clock;
    private final MemoryBudget budget;
    private final Runnable onIdle;
    private final RegisteredServer server;
    private final ServerEvents events;
    private Attempt attempt;
    private String previousRequestId = "";
    private HttpResponse head;
    private boolean mismatched;
    private boolean unusable;
    private boolean complete;
    private boolean answeredBefore;
    private boolean connectionReset;
    private boolean written;
    private int skippedBytes;
    private long answerBytes;
    private long headBytes;
    private MemoryBudget.AnswerMemory memory;
    private BodyBuffer body;
    private Duration idleLimit = DEFAULT_IDLE_TIMEOUT;
    private MonotonicTime idleSince;

    BackendConnection(
            Channel channel,
            BackendDialect dialect,
            Clock clock,
            MemoryBudget budget,
            Runnable onIdle,
            RegisteredServer server,
            ServerEvents events) {
        this.channel = channel;
        this.dialect = dialect;
        this.embeddedAnswers = new EmbeddedAnswerFinder(dialect);
        this.clock = clock;
        this.budget = budget;
        this.onIdle = onIdle;
        this.server = server;
        this.events = events;
        this.idleSince = clock.monotonic();
        openBody();
    }

    /** Creates the handler that counts bytes before they are decoded, since the decoder skips some without an event. */
    ChannelInboundHandlerAdapter byteCounter() {
        return new ChannelInboundHandlerAdapter() {
            @Override
            public void channelRead(ChannelHandlerContext ctx, Object msg) {
                if (msg instanceof ByteBuf b) {
                    skippedBytes += b.readableBytes();
                }
                ctx.fireChannelRead(msg);
                limitSkippedBytes();
            }
        };
    }

    ResponseDecoder decoder() {
        return decoder;
    }

    private boolean reserveLine(long bytes) {
        headBytes += bytes;
        return memory.tryGrow(bytes);
    }

    private void limitSkippedBytes() {
        if (skippedBytes > MAX_SKIPPED_BYTES && channel.isActive()) {
            failAttempt("bytes that are no answer: " + skippedBytes + " bytes were skipped");
            var _ = channel.close();
        }
    }

    boolean isReusable() {
        return channel.isActive() && isUsable();
    }

    /** Returns whether only expected bytes arrived and the server has had no reason to close the connection. */
    private boolean isUsable() {
        return !unusable && clock.monotonic().since(idleSince).compareTo(idleLimit) < 0;
    }

    void close() {
        unusable = true;
        var _ = channel.close();
    }

    void send(Attempt next) {
        attempt = next;
        OutgoingRequest r = next.request();
        decoder.expectResponse(r.method());
        head = null;
        complete = false;
        next.onCancel(this::cancelAttempt);
        next.markSent();
        written = false;
        skippedBytes = 0;
        answerBytes = 0;
        var _ = BodyWriter.write(
                        channel,
                        new DefaultHttpRequest(
                                HttpVersion.HTTP_1_1,
                                r.method(),
                                r.uri(),
                                r.headers().get()),
                        r.body().bytes())
                .addListener(f -> {
                    written = true;
                    if (!f.isSuccess()) {
                        loseConnection("write failed: " + f.cause());
                    }
                });
        channel.flush();
    }

    private void cancelAttempt() {
        dropBody();
        attempt = null;
        unusable = true;
        var _ = channel.close();
    }

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object msg) {
        try {
            if (msg instanceof HttpObject o && o.decoderResult().isFailure()) {
                unusable = true;
                failAttempt(
                        "bytes that are no answer: " + o.decoderResult().cause().getMessage());
                var _ = ctx.close();
                return;
            }
            if (msg instanceof HttpResponse r) {
                handleHead(r);
            }
            if (msg instanceof HttpContent c) {
                handleContent(c);
            }
        } finally {
            ReferenceCountUtil.release(msg);
        }
    }

    private void handleHead(HttpResponse r) {
        long lines = headBytes;
        headBytes = 0;
        reportAvailability(r);
        if (attempt == null || complete) {
            reportSurplus();
            var _ = channel.close();
            return;
        }
        if (r.status().codeClass() == HttpStatusClass.INFORMATIONAL) {
            head = null;
            dropBody();
            return;
        }
        mismatched = !isAnswerToCurrentRequest(r);
        unusable |= mismatched;
        head = r;
        dropBody();
        if (mismatched) {
            events.answerIgnored(
                    server,
                    attempt.request().id(),
                    dialect.answeredRequestId(r.headers()),
                    r.status().code());
        } else {
            skippedBytes = 0;
            answerBytes = 0;
            reserveAnswer(r, lines);
            reportRateStatement(r);
        }
    }

    /**
     * Returns whether an answer belongs to the request sent last. A refusal without identifier does only if it is the
     * first answer of the connection; later it may be a copy of an earlier refusal.
     */
    private boolean isAnswerToCurrentRequest(HttpResponse r) {
        Optional<String> id = dialect.answeredRequestId(r.headers());
        return id.isPresent()
                ? id.get().equals(attempt.request().id())
                : !answeredBefore && dialect.isNotRun(r.status().code(), r.headers());
    }

    /**
     * Reports whether the server still accepts requests, also from an answer that belongs to no request: it comes from
     * this server all the same, unless another one has taken its address.
     */
    private void reportAvailability(HttpResponse r) {
        if (!dialect.isMisdirected(r.status().code())) {
            dialect.availability(r.status().code(), r.headers())
                    .ifPresent(a -> events.availabilityStated(server, dialect.answeredRequestId(r.headers()), a));
        }
    }

    /**
     * Reports the server's rate limit. The absence of a limit is believed only in a signed answer, since a refusal or a
     * malformed answer may lack it for another reason.
     */
    private void reportRateStatement(HttpResponse r) {
        if (dialect.isMisdirected(r.status().code())) {
            return;
        }
        RateStatement statement = dialect.rateStatement(r.headers());
        if (!(statement instanceof RateStatement.Unlimited) || dialect.isSigned(r.headers())) {
            events.rateStated(server, statement);
        }
    }

    private void handleContent(HttpContent c) {
        if (head == null || attempt == null) {
            return;
        }
        ByteBuf bytes = c.content();
        answerBytes += bytes.readableBytes();
        skippedBytes -= Math.min(skippedBytes, bytes.readableBytes());
        if (answerBytes > MAX_BODY_BYTES) {
            failAttempt("response body exceeds the limit of " + MAX_BODY_BYTES + " bytes");
            var _ = channel.close();
            return;
        }
        if (!mismatched && !body.append(bytes)) {
            failAttempt("response body at " + body.length() + " bytes exceeds the memory left for response bodies");
            var _ = channel.close();
            return;
        }
        if (c instanceof LastHttpContent) {
            completeResponse();
        }
    }

    private void completeResponse() {
        if (mismatched) {
            dropBody();
            head = null;
            return;
        }
        if (connectionReset) {
            loseConnection("connection reset");
            return;
        }
        Optional<Body> whole = body.take();
        if (whole.filter(this::isSpliced).isPresent()) {
            failAttempt("answer begins inside the body of another");
            var _ = channel.close();
            return;
        }
        complete = true;
        if (decoder.undecodedBytes().isReadable()) {
            reportSurplus();
        }
        HttpHeaders h = head.headers();
        int status = head.status().code();
        unusable |= !HttpUtil.isKeepAlive(head);
        readKeepAliveTimeout(h);
        Attempt a = attempt;
        AttemptResult result = toResult(status, h, whole);
        if (!(result instanceof AttemptResult.Answer)) {
            dropBody();
        }
        if (!channel.isActive()) {
            release();
        }
        a.complete(result);
    }

    /** Returns whether the body holds the start of a second answer, so that it is not the body that the server made. */
    private boolean isSpliced(Body whole) {
        List<String> ids = Stream.of(attempt.request().id(), previousRequestId)
                .filter(id -> !id.isEmpty())
                .toList();
        return embeddedAnswers.containsAnswer(whole.bytes(), decoder.undecodedBytes(), ids);
    }

    /** Ends the use of the connection because of bytes that arrived after a whole answer. */
    private void reportSurplus() {
        if (!unusable) {
            unusable = true;
            events.surplusReceived(
                    server,
                    attempt == null ? previousRequestId : attempt.request().id());
        }
    }

    private AttemptResult toResult(int status, HttpHeaders h, Optional<Body> whole) {
        if (dialect.isMisdirected(status)) {
            return new AttemptResult.NotRun(AttemptResult.NotRunReason.MISDIRECTED);
        }
        if (dialect.isNotRun(status, h)) {
            return new AttemptResult.NotRun(AttemptResult.NotRunReason.SHED);
        }
        if (h.contains(HttpHeaderNames.CONTENT_ENCODING)) {
            return new AttemptResult.Unknown(
                    "response has a Content-Encoding that was not requested", AttemptResult.Loss.ANSWER);
        }
        if (whole.isEmpty()) {
            return new AttemptResult.Unknown(
                    "response body exceeds the memory left for response bodies", AttemptResult.Loss.ANSWER);
        }
        memory.complete();
        return new AttemptResult.Answer(status, h, whole.get(), memory);
    }

    private void readKeepAliveTimeout(HttpHeaders h) {
        String value = h.get(KEEP_ALIVE_PARAMETERS, "");
        int at = value.indexOf(TIMEOUT_PARAMETER);
        if (at < 0) {
            return;
        }
        int from = at + TIMEOUT_PARAMETER.length();
        int to = from;
        while (to < value.length() && Character.isDigit(value.charAt(to))) {
            to++;
        }
        if (to > from && to - from < 7) {
            long ms = Long.parseLong(value.substring(from, to)) * 1_000;
            idleLimit = Duration.ofMillis((long) (ms * IDLE_TIMEOUT_SHARE));
        }
    }

    /** Releases the connection once all received bytes are read, so that bytes after the answer have been detected. */
    @Override
    public void channelReadComplete(ChannelHandlerContext ctx) {
        if (complete) {
            release();
        }
    }

    private void release() {
        answeredBefore = true;
        if (decoder.isInsideResponse()) {
            reportSurplus();
        }
        if (attempt != null) {
            previousRequestId = attempt.request().id();
        }
        attempt = null;
        complete = false;
        head = null;
        decoder.expectNothing();
        skippedBytes = 0;
        openBody();
        if (unusable || !written) {
            close();
        } else if (channel.isActive()) {
            idleSince = clock.monotonic();
            onIdle.run();
        }
    }

    /** Begins a body with memory of its own; that of the body before belongs to its answer, or has been released. */
    private void openBody() {
        memory = budget.openAnswer(this::giveUpAnswer);
        body = BodyBuffer.ofUnknownLength(memory);
    }

    /** Reserves the memory of a head, and the length that it announces; reading stops until the length is free. */
    private void reserveAnswer(HttpResponse r, long headLines) {
        if (!memory.tryGrow(headLines)) {
            failAttempt("response headers exceed the memory left for responses");
            var _ = channel.close();
            return;
        }
        long length = HttpUtil.getContentLength(r, 0L);
        if (length <= 0
                || HttpUtil.isTransferEncodingChunked(r)
                || r.status().equals(HttpResponseStatus.NOT_MODIFIED)
                || attempt.request().method().equals(HttpMethod.HEAD)) {
            return;
        }
        if (length > Math.min(MAX_BODY_BYTES, budget.maxAnswerBytes())) {
            failAttempt("response body of " + length + " bytes exceeds the limit");
            var _ = channel.close();
            return;
        }
        body = BodyBuffer.ofReserved(memory, (int) length);
        if (!memory.reserveLength(length, () -> channel.config().setAutoRead(true))) {
            channel.config().setAutoRead(false);
        }
    }

    private void giveUpAnswer() {
        failAttempt("response body at " + body.length() + " bytes given up for the memory of smaller ones");
        var _ = channel.close();
    }

    /** Drops the buffered body and releases its memory. */
    private void dropBody() {
        memory.close();
        openBody();
    }

    private void failAttempt(String cause) {
        endAttempt(new AttemptResult.Unknown(cause, AttemptResult.Loss.ANSWER));
    }

    private void loseConnection(String cause) {
        endAttempt(new AttemptResult.Unknown(cause, AttemptResult.Loss.CONNECTION));
    }

    private void endAttempt(AttemptResult.Unknown result) {
        unusable = true;
        dropBody();
        Attempt a = attempt;
        attempt = null;
        if (a != null && !a.isDone()) {
            a.complete(result);
        }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        connectionReset |= cause instanceof IOException;
        if (cause instanceof DecoderException && (attempt == null || complete)) {
            reportSurplus();
        } else if (!(cause instanceof IOException || cause instanceof DecoderException)) {
            events.connectionFailed(server, cause);
        }
        AttemptResult.Loss loss = connectionReset ? AttemptResult.Loss.CONNECTION : AttemptResult.Loss.ANSWER;
        endAttempt(new AttemptResult.Unknown(String.valueOf(cause.getMessage()), loss));
        var _ = ctx.close();
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
        if (attempt == null && isUsable()) {
            events.idleConnectionLost(server);
        }
        if (!complete) {
            loseConnection("connection closed before a whole answer");
        }
        ctx.fireChannelInactive();
    }
}
