package org.lycheetray.edge.front;

import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelOutboundBuffer;
import io.netty.channel.socket.DuplexChannel;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.handler.codec.http.TooLongHttpHeaderException;
import io.netty.handler.codec.http.TooLongHttpLineException;
import io.netty.util.ReferenceCountUtil;
import io.netty.util.concurrent.ScheduledFuture;
import java.io.IOException;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.lycheetray.core.time.MonotonicTime;
import org.lycheetray.daemon.limit.ConnectionLimit;
import org.lycheetray.daemon.limit.HeadCost;
import org.lycheetray.daemon.limit.HeadMemoryException;
import org.lycheetray.daemon.request.Body;
import org.lycheetray.edge.BodyBuffer;
import org.lycheetray.edge.BodyWriter;
import org.lycheetray.edge.MemoryBudget;
import org.lycheetray.edge.exchange.Exchange;
import org.lycheetray.edge.exchange.Exchanges;
import org.lycheetray.edge.exchange.IncomingRequest;
import org.lycheetray.edge.exchange.Outcome;
import org.lycheetray.edge.exchange.Reply;

/**
 * A caller's HTTP connection.
 *
 * <p>Pipelined requests run concurrently; their replies are sent in the order of the requests.
 */
final class CallerConnection extends ChannelInboundHandlerAdapter implements RequestInput.Owner {
    /** Memory counted for a request besides its head and body. */
    private static final int REQUEST_BYTES = 4 << 10;

    /** Memory counted for a reply of the VM itself until it is written. */
    private static final int REPLY_BYTES = 1 << 10;

    /** Maximum number of requests of a connection whose replies are not written; reading is suspended while it is reached. */
    private static final int MAX_PIPELINED = 16;

    /** Maximum number of requests of a connection that are begun before the others have their turn. */
    private static final int MAX_REQUESTS_PER_TURN = 16;

    /** Longest time for which bytes of a caller are read and discarded after the last reply. */
    private static final Duration LINGER_TIME = Duration.ofSeconds(5);

    private final CallerConnectionContext context;
    private final Channel channel;
    private final ConnectionLimit<CallerConnection> limit;
    private final RequestInput input;
    private final ArrayDeque<PipelinedRequest> pipelinedRequests = new ArrayDeque<>();
    private int requestsInTurn;
    private boolean resuming;
    private HttpRequest head;
    private MonotonicTime headReceivedAt;
    private BodyBuffer body;
    private MemoryBudget.RequestMemory memory;
    private boolean discarding;
    private long discardedBytes;
    private MonotonicTime lastUsedAt;
    private int repliesBeingWritten;
    private long lastUnwrittenBytes;
    private boolean continueExpected;
    private boolean lastRequestRead;
    private boolean closing;
    private boolean lingering;
    private ReplyObserver.Cause closeCause = ReplyObserver.Cause.CALLER_GONE;

    /** A request whose reply has not been sent. */
    private static final class PipelinedRequest {
        private final HttpMethod method;
        private final boolean keepAlive;
        private final MemoryBudget.RequestMemory memory;
        private String id = "";
        private Exchange exchange;
        private Reply reply;

        String id() {
            return id;
        }

        PipelinedRequest(HttpMethod method, boolean keepAlive, MemoryBudget.RequestMemory memory) {
            this.method = method;
            this.keepAlive = keepAlive;
            this.memory = memory;
        }

        void setExchange(Exchange e) {
            id = e.id();
            exchange = reply == null ? e : null;
        }

        /** Keeps the reply in place of the exchange, which holds the request. */
        void setReply(Reply r) {
            reply = r;
            exchange = null;
            memory.complete();
            memory.hold(r.memory().isPresent() ? 0 : REPLY_BYTES);
        }
    }

    CallerConnection(CallerConnectionContext context, Channel channel, ConnectionLimit<CallerConnection> limit) {
        this.context = context;
        this.channel = channel;
        this.limit = limit;
        this.lastUsedAt = context.clock().monotonic();
        input = new RequestInput(this, context.limits().get().maxHeaderBytes(), context.budget(), context.clock());
    }

    /** Returns the receiving side, which precedes this handler in the pipeline. */
    RequestInput input() {
        return input;
    }

    @Override
    public RequestDecoder.Gate gate() {
        if (closing || lastRequestRead) {
            return RequestDecoder.Gate.ENDED;
        }
        return isFull() ? RequestDecoder.Gate.SUSPENDED : RequestDecoder.Gate.OPEN;
    }

    /** Returns whether no further request is decoded for now. */
    private boolean isFull() {
        return awaitsReplies() || requestsInTurn >= MAX_REQUESTS_PER_TURN;
    }

    /** Returns whether so many replies are not written that no further request is decoded until one is. */
    private boolean awaitsReplies() {
        return pipelinedRequests.size() + repliesBeingWritten >= MAX_PIPELINED;
    }

    @Override
    public void channelReadComplete(ChannelHandlerContext ctx) {
        if (!resuming) {
            requestsInTurn = 0;
        }
        ctx.fireChannelReadComplete();
    }

    @Override
    public boolean awaitsHead() {
        return head == null && !discarding;
    }

    @Override
    public void giveUpInput() {
        if (head != null) {
            refuseForMemory();
        } else {
            rejectForMemory();
        }
    }

    /** Refuses a request whose head has not arrived completely, and closes the connection. */
    private void rejectForMemory() {
        rejectAndClose(HttpResponseStatus.SERVICE_UNAVAILABLE, Optional.of(Exchanges.UNSTARTED_RETRY_AFTER));
    }

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object msg) {
        try {
            if (closing || lastRequestRead) {
                return;
            }
            if (msg instanceof HttpObject o && o.decoderResult().isFailure()) {
                rejectMalformed(o.decoderResult().cause());
                return;
            }
            if (msg instanceof HttpRequest r) {
                handleHead(r);
            }
            if (msg instanceof HttpContent c && head != null) {
                handleContent(c);
            } else if (msg instanceof HttpContent c && discarding) {
                discard(c);
            }
        } finally {
            ReferenceCountUtil.release(msg);
        }
    }

    private void handleHead(HttpRequest r) {
        discarding = false;
        head = r;
        headReceivedAt = context.clock().monotonic();
        lastUsedAt = headReceivedAt;
        long headBytes = REQUEST_BYTES + HeadCost.ofText(r.uri().length()) + input.completeHead();
        long length = HttpUtil.getContentLength(r, 0L);
        if (length > context.limits().get().maxBodyBytes()) {
            rejectAndClose(HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE);
            return;
        }
        memory = context.budget().openRequest(context.exchanges().account(r.headers()), this::giveUpInput);
        if (!memory.tryGrow(headBytes + length)) {
            refuseForMemory();
            return;
        }
        memory.markArriving();
        body = length > 0 ? BodyBuffer.ofReserved(memory, (int) length) : BodyBuffer.ofUnknownLength(memory);
        continueExpected = HttpUtil.is100ContinueExpected(r);
        sendContinueInTurn();
    }

    /** Asks for the body that a caller holds back, once the replies to earlier requests are sent. */
    private void sendContinueInTurn() {
        if (continueExpected && pipelinedRequests.isEmpty() && !closing) {
            continueExpected = false;
            var _ = channel.writeAndFlush(
                    new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE));
        }
    }

    private void handleContent(HttpContent c) {
        lastUsedAt = context.clock().monotonic();
        boolean last = c instanceof LastHttpContent;
        if (body.length() + (long) c.content().readableBytes()
                > context.limits().get().maxBodyBytes()) {
            rejectAndClose(HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE);
        } else if (!body.append(c.content())) {
            refuseForMemory();
        } else if (last) {
            body.take().ifPresentOrElse(this::startExchange, this::refuseForMemory);
        }
        discarding &= !last;
    }

    /** Drops a part of the body of a refused request. */
    private void discard(HttpContent c) {
        lastUsedAt = context.clock().monotonic();
        discardedBytes += c.content().readableBytes();
        discarding = !(c instanceof LastHttpContent);
        if (discardedBytes > context.limits().get().maxBodyBytes()) {
            closing = true;
            var _ = channel.close();
        }
    }

    private void startExchange(Body whole) {
        if (!limit.tryUse(this)) {
            refuseUnstarted(Outcome.NO_CONNECTION);
            return;
        }
        HttpRequest r = head;
        memory.complete();
        PipelinedRequest pipelined = new PipelinedRequest(r.method(), HttpUtil.isKeepAlive(r), memory);
        lastRequestRead = !pipelined.keepAlive;
        forgetRequest();
        pipelinedRequests.addLast(pipelined);
        IncomingRequest request = new IncomingRequest(r.method(), r.uri(), r.headers(), whole, headReceivedAt);
        pipelined.setExchange(context.exchanges().start(request, reply -> handleReply(pipelined, reply)));
        suspendReadingIfFull();
    }

    private void refuseForMemory() {
        refuseUnstarted(Outcome.NO_MEMORY);
    }

    /**
     * Refuses the request that is being received. The rest of its body is read and dropped, so that the caller gets the
     * reply.
     */
    private void refuseUnstarted(Outcome outcome) {
        HttpRequest r = head;
        boolean keepAlive = HttpUtil.isKeepAlive(r) && !HttpUtil.is100ContinueExpected(r);
        memory.close();
        PipelinedRequest pipelined = new PipelinedRequest(r.method(), keepAlive, memory);
        lastRequestRead = !keepAlive;
        forgetRequest();
        discarding = true;
        discardedBytes = 0;
        pipelinedRequests.addLast(pipelined);
        IncomingRequest request = new IncomingRequest(r.method(), r.uri(), r.headers(), Body.EMPTY, headReceivedAt);
        pipelined.setExchange(
                context.exchanges().refuseUnstarted(request, outcome, reply -> handleReply(pipelined, reply)));
        suspendReadingIfFull();
    }

    private void forgetRequest() {
        head = null;
        body = null;
        continueExpected = false;
        memory = null;
    }

    private void suspendReadingIfFull() {
        requestsInTurn++;
        if (isFull()) {
            channel.config().setAutoRead(false);
            resumeReadingIfRoom();
        }
    }

    /** Resumes reading once there is room, after the events of other connections. */
    private void resumeReadingIfRoom() {
        if (channel.config().isAutoRead() || awaitsReplies() || resuming) {
            return;
        }
        resuming = true;
        input.schedule(() -> {
            resuming = false;
            requestsInTurn = 0;
            if (!channel.isActive()) {
                return;
            }
            input.resume();
            if (isFull()) {
                resumeReadingIfRoom();
            } else {
                channel.config().setAutoRead(true);
            }
        });
    }

    private void handleReply(PipelinedRequest pipelined, Reply reply) {
        pipelined.setReply(reply);
        while (!pipelinedRequests.isEmpty() && pipelinedRequests.getFirst().reply != null && !closing) {
            writeReply(pipelinedRequests.removeFirst());
        }
        channel.flush();
        sendContinueInTurn();
        resumeReadingIfRoom();
    }

    private void writeReply(PipelinedRequest pipelined) {
        Reply reply = pipelined.reply;
        boolean last = !pipelined.keepAlive
                || (context.leaving().getAsBoolean() && pipelinedRequests.isEmpty() && head == null);
        HttpHeaders headers = reply.headers();
        boolean bodyless = reply.status() == 204 || reply.status() == 304;
        if (!bodyless) {
            headers.set(
                    HttpHeaderNames.CONTENT_LENGTH,
                    Integer.toString(reply.body().bytes().length));
        }
        if (last) {
            headers.set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
        }
        var f = BodyWriter.write(
                channel,
                new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(reply.status()), headers),
                bodyless || pipelined.method.equals(HttpMethod.HEAD)
                        ? Body.EMPTY.bytes()
                        : reply.body().bytes());
        repliesBeingWritten++;
        var _ = f.addListener(done -> {
            repliesBeingWritten--;
            pipelined.memory.close();
            reply.memory().ifPresent(MemoryBudget.AnswerMemory::close);
            lastUsedAt = context.clock().monotonic();
            if (!done.isSuccess()) {
                context.observer().replyNotDelivered(pipelined.id(), reply.status(), closeCause);
                // BodyWriter closes the connection; until then the next reply must not take the place of this one.
                closing = true;
            }
            releaseIfUnused();
            resumeReadingIfRoom();
        });
        lastUsedAt = context.clock().monotonic();
        if (last) {
            closing = true;
            cancelExchanges(ReplyObserver.Cause.CONNECTION_CLOSED);
            var _ = f.addListener(done -> closeAfterLastReply());
        }
    }

    /**
     * Closes the connection once the caller has closed its side, or after the linger time. Closing it while bytes of
     * the caller are unread would reset it, and the caller would lose the end of its replies.
     */
    private void closeAfterLastReply() {
        if (channel.isActive() && channel instanceof DuplexChannel duplex) {
            lingering = true;
            var _ = duplex.shutdownOutput();
            channel.config().setAutoRead(true);
            ScheduledFuture<?> linger =
                    channel.eventLoop().schedule(this::closeChannel, LINGER_TIME.toMillis(), TimeUnit.MILLISECONDS);
            var _ = channel.closeFuture().addListener(closed -> linger.cancel(false));
        } else {
            closeChannel();
        }
    }

    private void closeChannel() {
        var _ = channel.close();
    }

    private void rejectMalformed(Throwable cause) {
        if (cause instanceof HeadMemoryException) {
            rejectForMemory();
            return;
        }
        HttpResponseStatus status = HttpResponseStatus.BAD_REQUEST;
        if (cause instanceof TooLongHttpHeaderException) {
            status = HttpResponseStatus.REQUEST_HEADER_FIELDS_TOO_LARGE;
        } else if (cause instanceof TooLongHttpLineException) {
            status = HttpResponseStatus.REQUEST_URI_TOO_LONG;
        }
        rejectAndClose(status);
    }

    private void rejectAndClose(HttpResponseStatus status) {
        rejectAndClose(status, Optional.empty());
    }

    /** Rejects an unreadable request after the replies to earlier requests, and closes the connection. */
    private void rejectAndClose(HttpResponseStatus status, Optional<Duration> retryAfter) {
        releaseUnfinishedRequest();
        lastRequestRead = true;
        PipelinedRequest pipelined =
                new PipelinedRequest(HttpMethod.GET, false, context.budget().openRequest(Optional.empty(), () -> {}));
        pipelinedRequests.addLast(pipelined);
        channel.config().setAutoRead(false);
        handleReply(pipelined, Reply.withoutBody(status.code(), retryAfter));
    }

    private void cancelExchanges(ReplyObserver.Cause cause) {
        pipelinedRequests.forEach(s -> {
            if (s.reply != null) {
                context.observer().replyNotDelivered(s.id(), s.reply.status(), cause);
                s.reply.memory().ifPresent(MemoryBudget.AnswerMemory::close);
            }
            if (s.exchange != null) {
                s.exchange.callerDisconnected();
            }
            s.memory.close();
        });
        pipelinedRequests.clear();
        releaseUnfinishedRequest();
    }

    private void releaseUnfinishedRequest() {
        input.release();
        if (memory != null) {
            memory.close();
        }
        forgetRequest();
    }

    /**
     * Closes the connection if it has no request in progress and exceeds the idle timeout or the header timeout, or if
     * the body of a request is not there at the deadline of the request. A connection on which a reply is being written
     * is idle while the caller reads nothing of it.
     */
    void closeIfTimedOut(MonotonicTime now) {
        recordWriteProgress(now);
        var limits = context.limits().get();
        boolean idle = now.since(lastUsedAt).compareTo(limits.idleTimeout()) > 0;
        if (closing && idle && repliesBeingWritten > 0) {
            closeChannel();
        }
        if (!pipelinedRequests.isEmpty() || closing) {
            return;
        }
        boolean slowHead = input.headStartedAt()
                .filter(t -> !isFull())
                .filter(t -> now.since(t).compareTo(limits.headerTimeout()) > 0)
                .isPresent();
        if (head != null) {
            boolean slowBody = context.exchanges()
                    .timeout(head.uri(), head.headers())
                    .filter(d -> headReceivedAt.plus(d).isBefore(now))
                    .isPresent();
            if (idle || slowBody) {
                rejectAndClose(HttpResponseStatus.REQUEST_TIMEOUT);
            }
        } else if (slowHead || idle) {
            closing = true;
            closeAfterLastReply();
        }
    }

    private void recordWriteProgress(MonotonicTime now) {
        ChannelOutboundBuffer out = channel.unsafe().outboundBuffer();
        if (repliesBeingWritten > 0 && out != null) {
            long unwritten = out.totalPendingWriteBytes() - out.currentProgress();
            if (unwritten != lastUnwrittenBytes) {
                lastUnwrittenBytes = unwritten;
                lastUsedAt = now;
            }
        }
    }

    /** Closes the connection unless a request is in progress or being received, or a reply is being written. */
    void closeIfIdle() {
        if (!closing
                && pipelinedRequests.isEmpty()
                && head == null
                && input.headStartedAt().isEmpty()
                && repliesBeingWritten == 0) {
            closing = true;
            closeAfterLastReply();
        }
    }

    /** Returns whether a reply waits for an earlier one, has not been written completely, or could be lost by a reset. */
    boolean hasUndeliveredReply() {
        return repliesBeingWritten > 0
                || lingering
                || pipelinedRequests.stream().anyMatch(s -> s.reply != null);
    }

    /** Allows the connection to be closed for another one if all replies are written. */
    private void releaseIfUnused() {
        if (pipelinedRequests.isEmpty() && repliesBeingWritten == 0) {
            limit.release(this);
        }
    }

    /** Closes the connection for a new one. */
    void closeForOthers() {
        closing = true;
        closeChannel();
    }

    /** Returns whether the head of a request has arrived and its body has not arrived completely. */
    boolean isReceivingBody() {
        return head != null && !closing;
    }

    /** Refuses a request whose body has not arrived completely, and which therefore has not run. */
    void refuseIncomplete() {
        if (isReceivingBody()) {
            rejectAndClose(HttpResponseStatus.SERVICE_UNAVAILABLE);
        }
    }

    /** Closes the connection because the VM stops; replies that were not delivered are lost. */
    void closeForStop() {
        closeCause = ReplyObserver.Cause.STOPPED;
        closing = true;
        var _ = channel.close();
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
        closing = true;
        lingering = false;
        cancelExchanges(closeCause);
        ctx.fireChannelInactive();
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        if (!(cause instanceof IOException)) {
            context.observer().connectionFailed(cause);
        }
        var _ = ctx.close();
    }
}
