package org.lycheetray.edge.front;

import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.handler.codec.http.HttpResponseEncoder;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.Set;
import org.lycheetray.core.model.Endpoint;
import org.lycheetray.core.time.MonotonicTime;
import org.lycheetray.edge.Transport;

/** The listener for callers and their connections. For the event loop, except for creation. */
public final class Front implements AutoCloseable {
    private final FrontParts parts;
    private final Channel listener;
    private final Set<FrontConnection> connections = new HashSet<>();

    /**
     * Starts to listen.
     *
     * @param transport the event loop
     * @param address where to listen
     * @param parts what connections use
     */
    public Front(Transport transport, Endpoint address, FrontParts parts) {
        this.parts = parts;
        this.listener = transport
                .server()
                .childHandler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel ch) {
                        accept(ch);
                    }
                })
                .bind(new InetSocketAddress(address.host(), address.port()))
                .syncUninterruptibly()
                .channel();
    }

    private void accept(Channel ch) {
        FrontConnection c = new FrontConnection(parts, ch);
        connections.add(c);
        var _ = ch.closeFuture().addListener(f -> connections.remove(c));
        ch.pipeline()
                .addLast(
                        new ChannelInboundHandlerAdapter() {
                            @Override
                            public void channelRead(ChannelHandlerContext ctx, Object msg) {
                                c.bytesArrived();
                                ctx.fireChannelRead(msg);
                            }
                        },
                        new RequestDecoder(parts.limits().get().maxHeaderBytes()),
                        new HttpResponseEncoder(),
                        c);
    }

    /**
     * Closes connections that have been idle for too long.
     *
     * @param now present time
     */
    public void sweep(MonotonicTime now) {
        new ArrayList<>(connections).forEach(c -> c.sweep(now));
    }

    /** Takes no further connections and closes those without a request in progress. */
    public void stopAccepting() {
        var _ = listener.close();
        closeIdle();
    }

    /** Closes the connections without a request in progress. */
    public void closeIdle() {
        new ArrayList<>(connections).forEach(FrontConnection::closeIfIdle);
    }

    @Override
    public void close() {
        var _ = listener.close();
    }
}
