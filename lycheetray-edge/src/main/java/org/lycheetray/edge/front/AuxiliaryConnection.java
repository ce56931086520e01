package org.lycheetray.edge.front;

import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import java.util.function.Consumer;
import java.util.function.Function;
import org.lycheetray.core.time.MonotonicTime;
import org.lycheetray.core.traffic.ClientLimits;

/** A connection whose requests are answered from memory, one after another. */
final class AuxiliaryConnection extends ChannelInboundHandlerAdapter implements RequestInput.Owner {
    /** Maximum size of a request body in bytes; the requests served here need none. */
    private static final int MAX_BODY_BYTES = 4 * 1024;

    /** Maximum size of the headers of a request in bytes. */
    private static final int MAX_HEADER_BYTES = 8 * 1024;

    private final AuxiliaryContext context;
    private final Channel channel;
    private final Function<String, AuxiliaryHttpServer.Response> pages;
    private final RequestInput input;
    private final Consumer<AuxiliaryConnection> onRequest;
    private HttpRequest head;
    private long bodyBytes;
    private boolean writing;
    private boolean closing;
    private MonotonicTime lastUsedAt;

    AuxiliaryConnection(
            AuxiliaryContext context,
            Channel channel,
            Function<String, AuxiliaryHttpServer.Response> pages,
            Consumer<AuxiliaryConnection> onRequest) {
        this.context = context;
        this.channel = channel;
        this.pages = pages;
        this.onRequest = onRequest;
        this.lastUsedAt = context.clock().monotonic();
        input = new RequestInput(this, MAX_HEADER_BYTES, context.budget(), context.clock());
    }

    /** Returns the receiving side, which precedes this handler in the pipeline. */
    RequestInput input() {
        return input;
    }

    @Override
    public RequestDecoder.Gate gate() {
        if (closing) {
            return RequestDecoder.Gate.ENDED;
        }
        return writing ? RequestDecoder.Gate.SUSPENDED : RequestDecoder.Gate.OPEN;
    }

    @Override
    public boolean awaitsHead() {
        return head == null;
    }

    @Override
    public void giveUpInput() {
        close();
    }

    void close() {
        closing = true;
        var _ = channel.close();
    }

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object msg) {
        try {
            if (closing) {
                return;
            }
            if (msg instanceof HttpObject o && o.decoderResult().isFailure()) {
                close();
                return;
            }
            if (msg instanceof HttpRequest r) {
                head = r;
                bodyBytes = 0;
                input.completeHead();
                onRequest.accept(this);
                sendContinueIfExpected(r);
            }
            if (msg instanceof HttpContent c) {
                bodyBytes += c.content().readableBytes();
                if (bodyBytes > MAX_BODY_BYTES) {
                    close();
                } else if (c instanceof LastHttpContent) {
                    answer();
                }
            }
        } finally {
            ReferenceCountUtil.release(msg);
        }
    }

    private void sendContinueIfExpected(HttpRequest r) {
        if (HttpUtil.is100ContinueExpected(r)) {
            var _ = channel.writeAndFlush(
                    new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE));
        }
    }

    private void answer() {
        AuxiliaryHttpServer.Response p = pages.apply(head.uri());
        boolean keepAlive = HttpUtil.isKeepAlive(head);
        head = null;
        DefaultFullHttpResponse response = new DefaultFullHttpResponse(
                HttpVersion.HTTP_1_1,
                HttpResponseStatus.valueOf(p.status()),
                Unpooled.wrappedBuffer(p.body().bytes()));
        response.headers().set(HttpHeaderNames.CONTENT_TYPE, p.contentType());
        response.headers()
                .set(HttpHeaderNames.CONTENT_LENGTH, Integer.toString(p.body().bytes().length));
        if (!keepAlive) {
            response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
        }
        lastUsedAt = context.clock().monotonic();
        var written = channel.writeAndFlush(response);
        if (!keepAlive) {
            closing = true;
            var _ = written.addListener(f -> close());
        } else {
            writing = true;
            if (!written.isDone()) {
                channel.config().setAutoRead(false);
            }
            var _ = written.addListener(f -> input.schedule(this::resume));
        }
    }

    private void resume() {
        lastUsedAt = context.clock().monotonic();
        writing = false;
        if (channel.isActive()) {
            input.resume();
            channel.config().setAutoRead(!writing);
        }
    }

    /** Closes the connection if a head takes too long to arrive, or if nothing has been read or written for too long. */
    void closeIfTimedOut(MonotonicTime now) {
        ClientLimits limits = context.limits().get();
        boolean slowHead = input.headStartedAt()
                .filter(t -> now.since(t).compareTo(limits.headerTimeout()) > 0)
                .isPresent();
        if (slowHead || now.since(lastUsedAt).compareTo(limits.idleTimeout()) > 0) {
            close();
        }
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
        closing = true;
        input.release();
        ctx.fireChannelInactive();
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        close();
    }
}
