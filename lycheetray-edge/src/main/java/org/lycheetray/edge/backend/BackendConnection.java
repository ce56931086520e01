package org.lycheetray.edge.backend;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.EmptyHttpHeaders;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.time.Duration;
import java.util.Optional;
import org.lycheetray.core.time.Clock;
import org.lycheetray.core.time.MonotonicTime;
import org.lycheetray.daemon.request.Body;
import org.lycheetray.edge.dialect.BackendDialect;

/**
 * One connection to a backend server; carries one request at a time.
 *
 * <p>Servers may answer twice, late, in part or with bytes that are no answer. An answer counts only if it names the
 * request that was sent last and is whole; a connection on which anything else arrived is not used again.
 */
final class BackendConnection extends ChannelInboundHandlerAdapter {
    /** Largest answer that is held; larger ones are given up. */
    private static final int MAX_BODY_BYTES = 32 << 20;

    /** Part of a connection's announced idle time during which it is reused: a request must not cross its close. */
    private static final double REUSED_SHARE = 0.6;

    /** Idle time of servers that do not announce one. */
    private static final Duration STANDARD_IDLE = Duration.ofSeconds(4);

    private static final String KEEP_ALIVE_PARAMETERS = "keep-alive";
    private static final String TIMEOUT_PARAMETER = "timeout=";

    private final Channel channel;
    private final ResponseDecoder decoder;
    private final BackendDialect dialect;
    private final Clock clock;
    private final Runnable onIdle;
    private final Runnable onLost;
    private Attempt attempt;
    private HttpResponse head;
    private boolean stray;
    private boolean tainted;
    private boolean complete;
    private boolean reset;
    private ByteArrayOutputStream body;
    private Duration idleLimit = STANDARD_IDLE;
    private MonotonicTime idleSince;

    BackendConnection(
            Channel channel,
            ResponseDecoder decoder,
            BackendDialect dialect,
            Clock clock,
            Runnable onIdle,
            Runnable onLost) {
        this.channel = channel;
        this.decoder = decoder;
        this.dialect = dialect;
        this.clock = clock;
        this.onIdle = onIdle;
        this.onLost = onLost;
        this.idleSince = clock.monotonic();
    }

    boolean isReusable() {
        return channel.isActive() && isFresh();
    }

    /** Tells whether the server had no reason yet to end the connection. */
    private boolean isFresh() {
        return !tainted && clock.monotonic().since(idleSince).compareTo(idleLimit) < 0;
    }

    void close() {
        tainted = true;
        var _ = channel.close();
    }

    void send(Attempt next) {
        attempt = next;
        OutgoingRequest r = next.request();
        decoder.expect(r.method());
        head = null;
        complete = false;
        next.onCancel(this::abandon);
        next.sent();
        HttpHeaders headers = r.headers().get();
        var _ = channel.writeAndFlush(new DefaultFullHttpRequest(
                        HttpVersion.HTTP_1_1,
                        r.method(),
                        r.uri(),
                        Unpooled.wrappedBuffer(r.body().bytes()),
                        headers,
                        EmptyHttpHeaders.INSTANCE))
                .addListener(f -> {
                    if (!f.isSuccess()) {
                        fail("write failed: " + f.cause());
                    }
                });
    }

    private void abandon() {
        attempt = null;
        tainted = true;
        var _ = channel.close();
    }

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object msg) {
        try {
            if (msg instanceof HttpObject o && o.decoderResult().isFailure()) {
                tainted = true;
                fail("bytes that are no answer: " + o.decoderResult().cause().getMessage());
                var _ = ctx.close();
                return;
            }
            if (msg instanceof HttpResponse r) {
                begin(r);
            }
            if (msg instanceof HttpContent c) {
                content(c);
            }
        } finally {
            ReferenceCountUtil.release(msg);
        }
    }

    private void begin(HttpResponse r) {
        if (attempt == null || complete) {
            tainted = true;
            var _ = channel.close();
            return;
        }
        if (r.status().codeClass() == HttpStatusClass.INFORMATIONAL) {
            head = null;
            return;
        }
        Optional<String> id = dialect.answersTo(r.headers());
        stray = !id.equals(Optional.of(attempt.request().id()))
                && !(id.isEmpty() && dialect.isNotRun(r.status().code(), r.headers()));
        tainted |= stray;
        head = r;
        body = new ByteArrayOutputStream();
    }

    private void content(HttpContent c) {
        if (head == null || attempt == null) {
            return;
        }
        ByteBuf bytes = c.content();
        if (body.size() + bytes.readableBytes() > MAX_BODY_BYTES) {
            tainted = true;
            fail("answer of more than " + MAX_BODY_BYTES + " bytes");
            var _ = channel.close();
            return;
        }
        byte[] copy = new byte[bytes.readableBytes()];
        bytes.readBytes(copy);
        body.writeBytes(copy);
        if (c instanceof LastHttpContent) {
            finish();
        }
    }

    private void finish() {
        if (stray) {
            head = null;
            return;
        }
        if (reset) {
            fail("connection reset");
            return;
        }
        complete = true;
        HttpHeaders h = head.headers();
        int status = head.status().code();
        tainted |= !HttpUtil.isKeepAlive(head);
        keepAlive(h);
        Attempt a = attempt;
        AttemptResult result = result(status, h);
        if (!channel.isActive()) {
            release();
        }
        a.end(result);
    }

    private AttemptResult result(int status, HttpHeaders h) {
        if (dialect.isMisdirected(status)) {
            return new AttemptResult.NotRun(AttemptResult.Proof.MISDIRECTED);
        }
        if (dialect.isNotRun(status, h)) {
            return new AttemptResult.NotRun(AttemptResult.Proof.SHED);
        }
        if (h.contains(HttpHeaderNames.CONTENT_ENCODING)) {
            return new AttemptResult.Unknown("answer with a content encoding that was not asked for");
        }
        return new AttemptResult.Answer(status, h, new Body(body.toByteArray()));
    }

    private void keepAlive(HttpHeaders h) {
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
            idleLimit = Duration.ofMillis((long) (ms * REUSED_SHARE));
        }
    }

    /** Everything that had arrived was read: a connection with a whole answer and nothing after it is free again. */
    @Override
    public void channelReadComplete(ChannelHandlerContext ctx) {
        if (complete) {
            release();
        }
    }

    private void release() {
        attempt = null;
        complete = false;
        head = null;
        body = null;
        if (tainted) {
            var _ = channel.close();
        } else if (channel.isActive()) {
            idleSince = clock.monotonic();
            onIdle.run();
        }
    }

    private void fail(String cause) {
        tainted = true;
        Attempt a = attempt;
        attempt = null;
        if (a != null && !a.isOver()) {
            a.end(new AttemptResult.Unknown(cause));
        }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        reset |= cause instanceof IOException;
        fail(String.valueOf(cause.getMessage()));
        var _ = ctx.close();
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
        if (attempt == null && isFresh()) {
            onLost.run();
        }
        if (!complete) {
            fail("connection closed before a whole answer");
        }
        ctx.fireChannelInactive();
    }
}
