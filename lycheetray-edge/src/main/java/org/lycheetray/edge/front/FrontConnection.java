package org.lycheetray.edge.front;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
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
import java.io.ByteArrayOutputStream;
import java.util.ArrayDeque;
import java.util.Optional;
import org.lycheetray.core.time.MonotonicTime;
import org.lycheetray.daemon.request.Body;
import org.lycheetray.edge.exchange.Exchange;
import org.lycheetray.edge.exchange.IncomingRequest;
import org.lycheetray.edge.exchange.Reply;

/**
 * One connection of a caller.
 *
 * <p>Requests that follow each other without waiting run at the same time; replies go out in the order of the requests.
 */
final class FrontConnection extends ChannelInboundHandlerAdapter {
    /** Requests of one connection that run at one time; reading stops until one is answered. */
    private static final int MAX_PIPELINED = 16;

    private final FrontParts parts;
    private final Channel channel;
    private final ArrayDeque<Slot> slots = new ArrayDeque<>();
    private HttpRequest head;
    private MonotonicTime headAt;
    private ByteArrayOutputStream body;
    private int held;
    private MonotonicTime lastUse;
    private Optional<MonotonicTime> headBegan = Optional.empty();
    private boolean closing;

    /** A request's place in the order of replies. */
    private static final class Slot {
        private final HttpMethod method;
        private final boolean keepAlive;
        private Exchange exchange;
        private Reply reply;

        Slot(HttpMethod method, boolean keepAlive) {
            this.method = method;
            this.keepAlive = keepAlive;
        }
    }

    FrontConnection(FrontParts parts, Channel channel) {
        this.parts = parts;
        this.channel = channel;
        this.lastUse = parts.clock().monotonic();
    }

    /** Notes bytes before they are decoded, so that the time of an unfinished head is known. */
    void bytesArrived() {
        if (head == null && headBegan.isEmpty()) {
            headBegan = Optional.of(parts.clock().monotonic());
        }
    }

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object msg) {
        try {
            if (closing) {
                return;
            }
            if (msg instanceof HttpObject o && o.decoderResult().isFailure()) {
                malformed(o.decoderResult().cause());
                return;
            }
            if (msg instanceof HttpRequest r) {
                begin(r);
            }
            if (msg instanceof HttpContent c && head != null) {
                content(c);
            }
        } finally {
            ReferenceCountUtil.release(msg);
        }
    }

    private void begin(HttpRequest r) {
        head = r;
        headAt = parts.clock().monotonic();
        lastUse = headAt;
        headBegan = Optional.empty();
        body = new ByteArrayOutputStream();
        if (HttpUtil.getContentLength(r, 0L) > parts.limits().get().maxBodyBytes()) {
            rejectBody(HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE);
        } else if (HttpUtil.is100ContinueExpected(r)) {
            var _ = channel.writeAndFlush(
                    new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE));
        }
    }

    private void content(HttpContent c) {
        ByteBuf bytes = c.content();
        int n = bytes.readableBytes();
        if (body.size() + (long) n > parts.limits().get().maxBodyBytes()) {
            rejectBody(HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE);
            return;
        }
        if (!parts.budget().take(n)) {
            rejectBody(HttpResponseStatus.SERVICE_UNAVAILABLE);
            return;
        }
        held += n;
        byte[] copy = new byte[n];
        bytes.readBytes(copy);
        body.writeBytes(copy);
        if (c instanceof LastHttpContent) {
            complete();
        }
    }

    private void complete() {
        HttpRequest r = head;
        byte[] bytes = body.toByteArray();
        parts.budget().giveBack(held);
        held = 0;
        head = null;
        body = null;
        Slot slot = new Slot(r.method(), HttpUtil.isKeepAlive(r));
        slots.addLast(slot);
        IncomingRequest request = new IncomingRequest(r.method(), r.uri(), r.headers(), new Body(bytes), headAt);
        slot.exchange = parts.exchanges().start(request, reply -> replied(slot, reply));
        if (slots.size() >= MAX_PIPELINED) {
            channel.config().setAutoRead(false);
        }
    }

    private void replied(Slot slot, Reply reply) {
        slot.reply = reply;
        while (!slots.isEmpty() && slots.getFirst().reply != null && !closing) {
            write(slots.removeFirst());
        }
        channel.flush();
        if (slots.size() < MAX_PIPELINED && !channel.config().isAutoRead()) {
            channel.config().setAutoRead(true);
        }
    }

    private void write(Slot slot) {
        Reply reply = slot.reply;
        boolean last = !slot.keepAlive || (parts.leaving().getAsBoolean() && slots.isEmpty() && head == null);
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
        ByteBuf content = bodyless || slot.method.equals(HttpMethod.HEAD)
                ? Unpooled.EMPTY_BUFFER
                : Unpooled.wrappedBuffer(reply.body().bytes());
        var f = channel.write(new DefaultFullHttpResponse(
                HttpVersion.HTTP_1_1,
                HttpResponseStatus.valueOf(reply.status()),
                content,
                headers,
                EmptyHttpHeaders.INSTANCE));
        lastUse = parts.clock().monotonic();
        if (last) {
            closing = true;
            abandon();
            var _ = f.addListener(ChannelFutureListener.CLOSE);
        }
    }

    private void malformed(Throwable cause) {
        HttpResponseStatus status = HttpResponseStatus.BAD_REQUEST;
        if (cause instanceof TooLongHttpHeaderException) {
            status = HttpResponseStatus.REQUEST_HEADER_FIELDS_TOO_LARGE;
        } else if (cause instanceof TooLongHttpLineException) {
            status = HttpResponseStatus.REQUEST_URI_TOO_LONG;
        }
        rejectBody(status);
    }

    /** Answers a request that cannot be read to its end, after the replies to those before it, and closes. */
    private void rejectBody(HttpResponseStatus status) {
        parts.budget().giveBack(held);
        held = 0;
        head = null;
        body = null;
        Slot slot = new Slot(HttpMethod.GET, false);
        slots.addLast(slot);
        channel.config().setAutoRead(false);
        replied(slot, new Reply(status.code(), new DefaultHttpHeaders(), Body.EMPTY));
    }

    private void abandon() {
        slots.forEach(s -> {
            if (s.exchange != null) {
                s.exchange.callerGone();
            }
        });
        slots.clear();
        parts.budget().giveBack(held);
        held = 0;
    }

    /** Closes the connection if the caller has been idle, or has taken over a head, for too long, or the VM leaves. */
    void sweep(MonotonicTime now) {
        if (!slots.isEmpty() || head != null || closing) {
            return;
        }
        var limits = parts.limits().get();
        boolean slowHead = headBegan
                .filter(t -> now.since(t).compareTo(limits.headerTimeout()) > 0)
                .isPresent();
        boolean idle = now.since(lastUse).compareTo(limits.idleTimeout()) > 0;
        if (slowHead || idle) {
            closing = true;
            var _ = channel.close();
        }
    }

    /** Closes the connection unless a request is in progress on it. */
    void closeIfIdle() {
        if (slots.isEmpty() && head == null && headBegan.isEmpty()) {
            closing = true;
            var _ = channel.close();
        }
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
        closing = true;
        abandon();
        ctx.fireChannelInactive();
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        var _ = ctx.close();
    }
}
