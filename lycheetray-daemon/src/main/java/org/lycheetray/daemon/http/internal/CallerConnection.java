package org.lycheetray.daemon.http.internal;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelDuplexHandler;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelPipeline;
import io.netty.channel.ChannelPromise;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import java.util.ArrayDeque;
import java.util.Deque;
import org.lycheetray.daemon.limit.HeadBudget;
import org.lycheetray.daemon.limit.HeadCost;
import org.lycheetray.daemon.limit.HeadDecoderConfig;
import org.lycheetray.daemon.limit.HeadMemory;
import org.lycheetray.daemon.limit.HeadMemoryException;
import reactor.netty.NettyPipeline;

/**
 * Applies the limits to the connection of a caller.
 *
 * <p>A handler in front of the decoder passes on what arrives in small parts, and nothing while many requests have no
 * response. A handler behind it follows the requests and their responses. Used on the event loop of the channel, except
 * for {@link #close}.
 */
final class CallerConnection implements HeadMemory {
    /** Maximum number of requests without response behind which nothing is decoded. */
    private static final int MAX_UNANSWERED = 16;

    /** Size of the parts in which input is decoded; bounds the requests that are decoded at once. */
    private static final int PART_BYTES = 1 << 10;

    /** Memory of a request without its text and its header lines. */
    private static final long REQUEST_BYTES = 2 << 10;

    /** Number of bytes of a body from which the request is not given up for others. */
    private static final int SMALL_BYTES = 64 << 10;

    private static final int RETRY_AFTER_SECONDS = 1;

    private final Channel channel;
    private final CallerLimits limits;
    private final HeadBudget.Reservation memory;

    /** Memory of each request without response, in bytes; the oldest is the first. */
    private final Deque<Long> unanswered = new ArrayDeque<>();

    /** Memory of the head that is arriving, in bytes; 0 if there is none. */
    private long headBytes;

    private long bodyBytes;
    private boolean hasMemory;
    private boolean refusing;

    CallerConnection(Channel channel, CallerLimits limits, HeadBudget heads) {
        this.channel = channel;
        this.limits = limits;
        this.memory = heads.open(this::close);
    }

    /** Adds the handlers; the decoder is replaced by one that counts the lines of heads. */
    void install(int maxLineBytes, int maxHeaderBytes) {
        ChannelPipeline p = channel.pipeline();
        Messages messages = new Messages();
        p.replace(
                NettyPipeline.HttpCodec,
                NettyPipeline.HttpCodec,
                new HttpServerCodec(HeadDecoderConfig.of(maxLineBytes, maxHeaderBytes, this)));
        p.addBefore(NettyPipeline.HttpCodec, "caller-input", new Input(messages));
        p.addAfter(NettyPipeline.HttpCodec, "caller-messages", messages);
    }

    /** Closes the connection; may be called on any thread. */
    void close() {
        var _ = channel.close();
    }

    @Override
    public void beginHead() {
        hasMemory = memory.tryGrow(REQUEST_BYTES);
        headBytes = hasMemory ? REQUEST_BYTES : 0;
    }

    @Override
    public boolean tryGrow(long bytes) {
        if (!memory.tryGrow(bytes)) {
            return false;
        }
        headBytes += bytes;
        return true;
    }

    /** Passes on input in parts, as long as not too many requests are without response. */
    private final class Input extends ChannelDuplexHandler {
        private final Messages messages;
        private final Deque<ByteBuf> waiting = new ArrayDeque<>();
        private boolean readRequested;
        private boolean resumeScheduled;

        Input(Messages messages) {
            this.messages = messages;
            messages.input = this;
        }

        @Override
        public void channelRead(ChannelHandlerContext ctx, Object message) {
            if (unanswered.isEmpty()) {
                memory.markArriving();
            }
            waiting.addLast((ByteBuf) message);
            decode(ctx);
        }

        @Override
        public void read(ChannelHandlerContext ctx) {
            readRequested = true;
            readIfDecoded(ctx);
        }

        /** Goes on with what has waited for a response, after the handlers have finished with that. */
        private void resumeLater() {
            if (!resumeScheduled) {
                resumeScheduled = true;
                channel.eventLoop().execute(this::resume);
            }
        }

        private void resume() {
            resumeScheduled = false;
            ChannelHandlerContext ctx = channel.pipeline().context(this);
            if (ctx == null) {
                return;
            }
            messages.resume();
            if (!waiting.isEmpty()) {
                decode(ctx);
                ctx.fireChannelReadComplete();
            }
            readIfDecoded(ctx);
        }

        private void decode(ChannelHandlerContext ctx) {
            while (!waiting.isEmpty() && unanswered.size() < MAX_UNANSWERED) {
                ByteBuf b = waiting.getFirst();
                ByteBuf part = b.readRetainedSlice(Math.min(PART_BYTES, b.readableBytes()));
                if (!b.isReadable()) {
                    waiting.removeFirst().release();
                }
                ctx.fireChannelRead(part);
            }
        }

        private void readIfDecoded(ChannelHandlerContext ctx) {
            if (readRequested && waiting.isEmpty() && unanswered.size() < MAX_UNANSWERED) {
                readRequested = false;
                ctx.read();
            }
        }

        @Override
        public void handlerRemoved(ChannelHandlerContext ctx) {
            waiting.forEach(ByteBuf::release);
            waiting.clear();
        }
    }

    /** Passes on one request at a time, and refuses requests for which there is no room. */
    private final class Messages extends ChannelDuplexHandler {
        private final Deque<Object> waiting = new ArrayDeque<>();
        private Input input;
        private boolean interim;
        private boolean requestInProgress;
        private boolean responseInProgress;

        @Override
        public void channelRead(ChannelHandlerContext ctx, Object message) {
            if (refusing) {
                ReferenceCountUtil.release(message);
                return;
            }
            if (message instanceof HttpRequest r && !accept(ctx, r)) {
                ReferenceCountUtil.release(message);
                return;
            }
            if (message instanceof HttpContent c) {
                recordContent(c);
            }
            waiting.addLast(message);
            passOn(ctx);
        }

        /** Passes on the messages of one request after the response to the one before, whatever that one says. */
        private void passOn(ChannelHandlerContext ctx) {
            while (!waiting.isEmpty() && (requestInProgress || !responseInProgress)) {
                Object message = waiting.removeFirst();
                if (message instanceof HttpRequest) {
                    requestInProgress = true;
                    responseInProgress = true;
                }
                if (message instanceof LastHttpContent) {
                    requestInProgress = false;
                }
                ctx.fireChannelRead(message);
            }
        }

        private void resume() {
            ChannelHandlerContext ctx = channel.pipeline().context(this);
            if (ctx != null) {
                passOn(ctx);
            }
        }

        /** Returns whether a request is passed on; it is refused otherwise. */
        private boolean accept(ChannelHandlerContext ctx, HttpRequest r) {
            boolean failed = r.decoderResult().isFailure();
            if (failed && !(r.decoderResult().cause() instanceof HeadMemoryException)) {
                // A response to this one must not be taken for that to an earlier one.
                refusing = !unanswered.isEmpty();
                return !refusing;
            }
            if (failed || !hasMemory || !tryGrow(HeadCost.ofText(r.uri().length()))) {
                refuse(ctx, "memory");
                return false;
            }
            if (!limits.tryUse(CallerConnection.this)) {
                refuse(ctx, "connections");
                return false;
            }
            unanswered.addLast(headBytes);
            headBytes = 0;
            bodyBytes = 0;
            return true;
        }

        private void recordContent(HttpContent c) {
            bodyBytes += c.content().readableBytes();
            if (c instanceof LastHttpContent || bodyBytes > SMALL_BYTES) {
                memory.complete();
            }
        }

        private void refuse(ChannelHandlerContext ctx, String cause) {
            refusing = true;
            limits.logRefusal(MalformedRequestCounter.host(channel), cause);
            if (unanswered.isEmpty()) {
                FullHttpResponse r = new DefaultFullHttpResponse(
                        HttpVersion.HTTP_1_1, HttpResponseStatus.SERVICE_UNAVAILABLE, Unpooled.EMPTY_BUFFER);
                r.headers()
                        .set(HttpHeaderNames.CONTENT_LENGTH, 0)
                        .set(HttpHeaderNames.RETRY_AFTER, RETRY_AFTER_SECONDS)
                        .set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
                var _ = ctx.writeAndFlush(r).addListener(ChannelFutureListener.CLOSE);
            }
        }

        @Override
        public void write(ChannelHandlerContext ctx, Object message, ChannelPromise promise) {
            if (message instanceof HttpResponse r) {
                interim = r.status().codeClass() == HttpStatusClass.INFORMATIONAL;
            }
            if (message instanceof LastHttpContent && !interim) {
                var _ = ctx.write(message, promise.unvoid()).addListener(_ -> recordResponse());
            } else {
                var _ = ctx.write(message, promise);
            }
        }

        private void recordResponse() {
            responseInProgress = false;
            if (!unanswered.isEmpty()) {
                memory.shrink(unanswered.removeFirst());
            }
            if (unanswered.isEmpty()) {
                limits.release(CallerConnection.this);
                if (headBytes > 0) {
                    memory.markArriving();
                }
                if (refusing) {
                    CallerConnection.this.close();
                }
            }
            input.resumeLater();
        }

        @Override
        public void handlerRemoved(ChannelHandlerContext ctx) {
            waiting.forEach(ReferenceCountUtil::release);
            waiting.clear();
            memory.close();
            limits.remove(CallerConnection.this);
        }
    }
}
