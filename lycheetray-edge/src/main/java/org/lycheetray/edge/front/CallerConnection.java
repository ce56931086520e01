package org.lycheetray.edge.front;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelOutboundBuffer;
import io.netty.channel.socket.DuplexChannel;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.EmptyHttpHeaders;
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
import java.io.ByteArrayOutputStream;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.lycheetray.core.time.MonotonicTime;
import org.lycheetray.daemon.request.Body;
import org.lycheetray.edge.exchange.Exchange;
import org.lycheetray.edge.exchange.IncomingRequest;
import org.lycheetray.edge.exchange.Reply;

/**
 * A caller's HTTP connection.
 *
 * <p>Pipelined requests run concurrently; their replies are sent in the order of the requests.
 */
final class CallerConnection extends ChannelInboundHandlerAdapter {
    /** Maximum number of concurrent requests of a connection; reading is suspended while it is reached. */
    private static final int MAX_PIPELINED = 16;

    /** Longest time for which bytes of a caller are read and discarded after the last reply. */
    private static final Duration LINGER_TIME = Duration.ofSeconds(5);

    private final CallerConnectionContext context;
    private final Channel channel;
    private final ArrayDeque<PipelinedRequest> pipelinedRequests = new ArrayDeque<>();
    private HttpRequest head;
    private MonotonicTime headReceivedAt;
    private ByteArrayOutputStream body;
    private int reservedBytes;
    private MonotonicTime lastUsedAt;
    private Optional<MonotonicTime> headStartedAt = Optional.empty();
    private int repliesBeingWritten;
    private long lastUnwrittenBytes;
    private boolean continueExpected;
    private boolean lastRequestRead;
    private boolean closing;
    private ReplyObserver.Cause closeCause = ReplyObserver.Cause.CALLER_GONE;

    /** A request whose reply has not been sent. */
    private static final class PipelinedRequest {
        private final HttpMethod method;
        private final boolean keepAlive;
        private Exchange exchange;
        private Reply reply;

        String id() {
            return exchange == null ? "" : exchange.id();
        }

        PipelinedRequest(HttpMethod method, boolean keepAlive) {
            this.method = method;
            this.keepAlive = keepAlive;
        }
    }

    CallerConnection(CallerConnectionContext context, Channel channel) {
        this.context = context;
        this.channel = channel;
        this.lastUsedAt = context.clock().monotonic();
    }

    /** Records the arrival of bytes before they are decoded, so that the age of an incomplete head is known. */
    void recordBytesArrived() {
        if (head == null && headStartedAt.isEmpty()) {
            headStartedAt = Optional.of(context.clock().monotonic());
        }
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
            }
        } finally {
            ReferenceCountUtil.release(msg);
        }
    }

    private void handleHead(HttpRequest r) {
        head = r;
        headReceivedAt = context.clock().monotonic();
        lastUsedAt = headReceivedAt;
        headStartedAt = Optional.empty();
        body = new ByteArrayOutputStream();
        if (HttpUtil.getContentLength(r, 0L) > context.limits().get().maxBodyBytes()) {
            rejectAndClose(HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE);
        } else if (HttpUtil.is100ContinueExpected(r)) {
            continueExpected = true;
            sendContinueInTurn();
        }
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
        ByteBuf bytes = c.content();
        int n = bytes.readableBytes();
        if (body.size() + (long) n > context.limits().get().maxBodyBytes()) {
            rejectAndClose(HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE);
            return;
        }
        if (!context.budget().tryReserve(n)) {
            rejectAndClose(HttpResponseStatus.SERVICE_UNAVAILABLE);
            return;
        }
        reservedBytes += n;
        byte[] copy = new byte[n];
        bytes.readBytes(copy);
        body.writeBytes(copy);
        if (c instanceof LastHttpContent) {
            startExchange();
        }
    }

    private void startExchange() {
        HttpRequest r = head;
        byte[] bytes = body.toByteArray();
        context.budget().release(reservedBytes);
        reservedBytes = 0;
        head = null;
        body = null;
        continueExpected = false;
        lastRequestRead = !HttpUtil.isKeepAlive(r);
        PipelinedRequest pipelined = new PipelinedRequest(r.method(), HttpUtil.isKeepAlive(r));
        pipelinedRequests.addLast(pipelined);
        IncomingRequest request =
                new IncomingRequest(r.method(), r.uri(), r.headers(), new Body(bytes), headReceivedAt);
        pipelined.exchange = context.exchanges().start(request, reply -> handleReply(pipelined, reply));
        if (pipelinedRequests.size() >= MAX_PIPELINED) {
            channel.config().setAutoRead(false);
        }
    }

    private void handleReply(PipelinedRequest pipelined, Reply reply) {
        pipelined.reply = reply;
        while (!pipelinedRequests.isEmpty() && pipelinedRequests.getFirst().reply != null && !closing) {
            writeReply(pipelinedRequests.removeFirst());
        }
        channel.flush();
        sendContinueInTurn();
        if (pipelinedRequests.size() < MAX_PIPELINED && !channel.config().isAutoRead()) {
            channel.config().setAutoRead(true);
        }
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
        ByteBuf content = bodyless || pipelined.method.equals(HttpMethod.HEAD)
                ? Unpooled.EMPTY_BUFFER
                : Unpooled.wrappedBuffer(reply.body().bytes());
        var f = channel.write(new DefaultFullHttpResponse(
                HttpVersion.HTTP_1_1,
                HttpResponseStatus.valueOf(reply.status()),
                content,
                headers,
                EmptyHttpHeaders.INSTANCE));
        repliesBeingWritten++;
        var _ = f.addListener(done -> {
            repliesBeingWritten--;
            lastUsedAt = context.clock().monotonic();
            if (!done.isSuccess()) {
                context.observer().replyNotDelivered(pipelined.id(), reply.status(), closeCause);
                // The next reply must not take the place of this one.
                closing = true;
                var _ = channel.close();
            }
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
        HttpResponseStatus status = HttpResponseStatus.BAD_REQUEST;
        if (cause instanceof TooLongHttpHeaderException) {
            status = HttpResponseStatus.REQUEST_HEADER_FIELDS_TOO_LARGE;
        } else if (cause instanceof TooLongHttpLineException) {
            status = HttpResponseStatus.REQUEST_URI_TOO_LONG;
        }
        rejectAndClose(status);
    }

    /** Rejects an unreadable request after the replies to earlier requests, and closes the connection. */
    private void rejectAndClose(HttpResponseStatus status) {
        context.budget().release(reservedBytes);
        reservedBytes = 0;
        head = null;
        body = null;
        continueExpected = false;
        lastRequestRead = true;
        PipelinedRequest pipelined = new PipelinedRequest(HttpMethod.GET, false);
        pipelinedRequests.addLast(pipelined);
        channel.config().setAutoRead(false);
        handleReply(pipelined, new Reply(status.code(), new DefaultHttpHeaders(), Body.EMPTY));
    }

    private void cancelExchanges(ReplyObserver.Cause cause) {
        pipelinedRequests.forEach(s -> {
            if (s.reply != null) {
                context.observer().replyNotDelivered(s.id(), s.reply.status(), cause);
            }
            if (s.exchange != null) {
                s.exchange.callerDisconnected();
            }
        });
        pipelinedRequests.clear();
        context.budget().release(reservedBytes);
        reservedBytes = 0;
    }

    /**
     * Closes the connection if it has no request in progress and exceeds the idle timeout or the header timeout. A
     * connection on which a reply is being written is idle while the caller reads nothing of it.
     */
    void closeIfTimedOut(MonotonicTime now) {
        recordWriteProgress(now);
        if (!pipelinedRequests.isEmpty() || head != null || closing) {
            return;
        }
        var limits = context.limits().get();
        boolean slowHead = headStartedAt
                .filter(t -> now.since(t).compareTo(limits.headerTimeout()) > 0)
                .isPresent();
        boolean idle = now.since(lastUsedAt).compareTo(limits.idleTimeout()) > 0;
        if (slowHead || idle) {
            closing = true;
            var _ = channel.close();
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
        if (pipelinedRequests.isEmpty() && head == null && headStartedAt.isEmpty() && repliesBeingWritten == 0) {
            closing = true;
            var _ = channel.close();
        }
    }

    /** Returns whether a reply waits for an earlier one, or has not been written completely. */
    boolean hasUndeliveredReply() {
        return repliesBeingWritten > 0 || pipelinedRequests.stream().anyMatch(s -> s.reply != null);
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
        cancelExchanges(closeCause);
        ctx.fireChannelInactive();
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        var _ = ctx.close();
    }
}
