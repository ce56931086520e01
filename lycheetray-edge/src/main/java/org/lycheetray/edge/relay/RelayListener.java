package org.lycheetray.edge.relay;

import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.handler.timeout.ReadTimeoutHandler;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.concurrent.TimeUnit;
import org.lycheetray.core.model.Endpoint;
import org.lycheetray.daemon.limit.ConnectionLimit;
import org.lycheetray.daemon.log.LogEvent;
import org.lycheetray.edge.Transport;

/**
 * Accepts requests that other VMs ask the local VM to send to backend servers.
 *
 * <p>Not thread-safe: used on the event loop only.
 */
public final class RelayListener implements AutoCloseable {
    /** Time without a byte from the other VM after which a connection without a request is closed. */
    private static final Duration IDLE_TIMEOUT = Duration.ofSeconds(15);

    private final Channel listener;
    private final ConnectionLimit<RelayedRequests> connections;

    /**
     * Binds the listener.
     *
     * @param transport provides the event loop and its sockets
     * @param address address to listen on
     * @param maxConnections maximum number of connections
     * @param context collaborators of the connections
     */
    public RelayListener(Transport transport, Endpoint address, int maxConnections, RelayContext context) {
        this.connections = new ConnectionLimit<>(maxConnections, RelayedRequests::close);
        this.listener = transport
                .serverBootstrap()
                .childHandler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel ch) {
                        accept(ch, context);
                    }
                })
                .bind(new InetSocketAddress(address.host(), address.port()))
                .addListener(f -> {
                    if (!f.isSuccess()) {
                        LogEvent.of("relay-not-listening")
                                .with("cause", f.cause())
                                .error();
                    }
                })
                .channel();
    }

    private void accept(Channel ch, RelayContext context) {
        RelayedRequests c = new RelayedRequests(ch, context, connections);
        if (!c.isFromVmOfFleet()) {
            c.rejectUnknownSender();
            return;
        }
        connections.add(c);
        var _ = ch.closeFuture().addListener(f -> connections.remove(c));
        RelayFrames.addHandlers(ch.pipeline());
        ch.pipeline().addFirst(new ReadTimeoutHandler(IDLE_TIMEOUT.toMillis(), TimeUnit.MILLISECONDS) {
            @Override
            protected void readTimedOut(ChannelHandlerContext ctx) throws Exception {
                if (!c.isInProgress()) {
                    super.readTimedOut(ctx);
                }
            }
        });
        ch.pipeline().addLast(c);
    }

    /**
     * Returns the number of requests of other VMs in progress.
     *
     * @return number of requests
     */
    public int inProgressCount() {
        return (int) connections.connections().stream()
                .filter(RelayedRequests::isInProgress)
                .count();
    }

    @Override
    public void close() {
        var _ = listener.close();
        connections.connections().forEach(RelayedRequests::close);
    }
}
