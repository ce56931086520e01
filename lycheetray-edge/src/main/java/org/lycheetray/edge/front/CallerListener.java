package org.lycheetray.edge.front;

import io.netty.channel.Channel;
import io.netty.channel.ChannelInitializer;
import io.netty.handler.codec.http.HttpResponseEncoder;
import io.netty.handler.stream.ChunkedWriteHandler;
import java.net.InetSocketAddress;
import org.lycheetray.core.model.Endpoint;
import org.lycheetray.core.time.MonotonicTime;
import org.lycheetray.daemon.limit.ConnectionLimit;
import org.lycheetray.edge.Transport;

/**
 * HTTP listener for callers; tracks their connections.
 *
 * <p>All methods but the constructor must be called on the event loop.
 */
public final class CallerListener implements AutoCloseable {
    private final CallerConnectionContext context;
    private final Channel listener;
    private final ConnectionLimit<CallerConnection> connections;

    /**
     * Binds the listener and starts to accept connections.
     *
     * @param transport provides the event loop and its sockets
     * @param address address to listen on
     * @param maxConnections maximum number of connections
     * @param context collaborators of the connections
     */
    public CallerListener(Transport transport, Endpoint address, int maxConnections, CallerConnectionContext context) {
        this.context = context;
        this.connections = new ConnectionLimit<>(maxConnections, CallerConnection::closeForOthers);
        this.listener = transport
                .callerBootstrap()
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
        CallerConnection c = new CallerConnection(context, ch, connections);
        connections.add(c);
        var _ = ch.closeFuture().addListener(f -> connections.remove(c));
        c.input().addTo(ch.pipeline());
        ch.pipeline().addLast(new HttpResponseEncoder(), new ChunkedWriteHandler(), c);
    }

    /**
     * Closes connections that exceed the idle timeout or the header timeout.
     *
     * @param now current time
     */
    public void closeTimedOut(MonotonicTime now) {
        connections.connections().forEach(c -> c.closeIfTimedOut(now));
    }

    /**
     * Stops accepting connections, refuses requests that have not arrived completely and closes the connections without a
     * request in progress.
     */
    public void stopAccepting() {
        var _ = listener.close();
        connections.connections().forEach(CallerConnection::refuseIncomplete);
        closeIdle();
    }

    /** Closes all connections without a request in progress. */
    public void closeIdle() {
        connections.connections().forEach(CallerConnection::closeIfIdle);
    }

    /**
     * Returns the number of connections on which the body of a request is arriving.
     *
     * @return number of connections
     */
    public int receivingCount() {
        return (int) connections.connections().stream()
                .filter(CallerConnection::isReceivingBody)
                .count();
    }

    /**
     * Returns the number of connections with replies that have not been written completely.
     *
     * @return number of connections
     */
    public int undeliveredCount() {
        return (int) connections.connections().stream()
                .filter(CallerConnection::hasUndeliveredReply)
                .count();
    }

    /** Closes all connections because the VM stops; replies that were not delivered are lost. */
    public void closeForStop() {
        connections.connections().forEach(CallerConnection::closeForStop);
    }

    @Override
    public void close() {
        var _ = listener.close();
    }
}
