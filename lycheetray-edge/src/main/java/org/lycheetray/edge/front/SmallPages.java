package org.lycheetray.edge.front;

import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import java.net.InetSocketAddress;
import java.util.function.Function;
import org.lycheetray.core.model.Endpoint;
import org.lycheetray.daemon.request.Body;
import org.lycheetray.edge.Transport;

/** A listener for small questions that are answered from memory: readiness, look-ups, metrics. */
public final class SmallPages implements AutoCloseable {
    /** Largest question in bytes; these have no bodies to speak of. */
    private static final int MAX_BODY_BYTES = 4 * 1024;

    private final Channel listener;

    /**
     * An answer.
     *
     * @param status HTTP status
     * @param contentType type of the body
     * @param body the body
     */
    public record Page(int status, String contentType, Body body) {
        /** Answer to a question that is not known. */
        public static final Page NOT_FOUND = new Page(404, "text/plain", Body.EMPTY);
    }

    /**
     * Starts to listen.
     *
     * @param transport the event loop
     * @param address where to listen
     * @param pages answers path and query; called on the event loop
     */
    public SmallPages(Transport transport, Endpoint address, Function<String, Page> pages) {
        this.listener = transport
                .server()
                .childHandler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel ch) {
                        ch.pipeline()
                                .addLast(
                                        new HttpServerCodec(),
                                        new HttpObjectAggregator(MAX_BODY_BYTES, true),
                                        new Answers(pages));
                    }
                })
                .bind(new InetSocketAddress(address.host(), address.port()))
                .syncUninterruptibly()
                .channel();
    }

    private static final class Answers extends SimpleChannelInboundHandler<FullHttpRequest> {
        private final Function<String, Page> pages;

        Answers(Function<String, Page> pages) {
            this.pages = pages;
        }

        @Override
        protected void channelRead0(ChannelHandlerContext ctx, FullHttpRequest r) {
            if (r.decoderResult().isFailure()) {
                var _ = ctx.close();
                return;
            }
            Page p = pages.apply(r.uri());
            DefaultFullHttpResponse response = new DefaultFullHttpResponse(
                    HttpVersion.HTTP_1_1,
                    HttpResponseStatus.valueOf(p.status()),
                    Unpooled.wrappedBuffer(p.body().bytes()));
            response.headers().set(HttpHeaderNames.CONTENT_TYPE, p.contentType());
            response.headers()
                    .set(
                            HttpHeaderNames.CONTENT_LENGTH,
                            Integer.toString(p.body().bytes().length));
            boolean keepAlive = HttpUtil.isKeepAlive(r);
            if (!keepAlive) {
                response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
            }
            var f = ctx.writeAndFlush(response);
            if (!keepAlive) {
                var _ = f.addListener(ChannelFutureListener.CLOSE);
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            var _ = ctx.close();
        }
    }

    @Override
    public void close() {
        var _ = listener.close();
    }
}
