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

/** HTTP listener for requests that are answered from memory: readiness, look-ups and metrics. */
public final class AuxiliaryHttpServer implements AutoCloseable {
    /** Maximum size of a request body in bytes; the requests served here need none. */
    private static final int MAX_BODY_BYTES = 4 * 1024;

    private final Channel listener;

    /**
     * A response.
     *
     * @param status HTTP status code
     * @param contentType value of the Content-Type header
     * @param body the body
     */
    public record Response(int status, String contentType, Body body) {
        /** Response to a request for an unknown path. */
        public static final Response NOT_FOUND = new Response(404, "text/plain", Body.EMPTY);
    }

    /**
     * Binds the listener and starts to accept connections.
     *
     * @param transport provides the event loop and its sockets
     * @param address address to listen on
     * @param pages returns the response for a path and query; called on the event loop
     */
    public AuxiliaryHttpServer(Transport transport, Endpoint address, Function<String, Response> pages) {
        this.listener = transport
                .serverBootstrap()
                .childHandler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel ch) {
                        ch.pipeline()
                                .addLast(
                                        new HttpServerCodec(),
                                        new HttpObjectAggregator(MAX_BODY_BYTES, true),
                                        new RequestHandler(pages));
                    }
                })
                .bind(new InetSocketAddress(address.host(), address.port()))
                .syncUninterruptibly()
                .channel();
    }

    private static final class RequestHandler extends SimpleChannelInboundHandler<FullHttpRequest> {
        private final Function<String, Response> pages;

        RequestHandler(Function<String, Response> pages) {
            this.pages = pages;
        }

        @Override
        protected void channelRead0(ChannelHandlerContext ctx, FullHttpRequest r) {
            if (r.decoderResult().isFailure()) {
                var _ = ctx.close();
                return;
            }
            Response p = pages.apply(r.uri());
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
