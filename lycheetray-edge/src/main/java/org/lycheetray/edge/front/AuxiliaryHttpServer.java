package org.lycheetray.edge.front;

import io.netty.channel.Channel;
import io.netty.channel.ChannelInitializer;
import io.netty.handler.codec.http.HttpResponseEncoder;
import java.net.InetSocketAddress;
import java.util.function.Function;
import org.lycheetray.core.model.Endpoint;
import org.lycheetray.core.time.MonotonicTime;
import org.lycheetray.daemon.limit.ConnectionLimit;
import org.lycheetray.daemon.request.Body;
import org.lycheetray.edge.Transport;

/** HTTP listener for requests that are answered from memory: readiness, look-ups and metrics. */
public final class AuxiliaryHttpServer implements AutoCloseable {
    private final ConnectionLimit<AuxiliaryConnection> connections;
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
     * @param maxConnections maximum number of connections
     * @param context collaborators of the connections
     * @param pages returns the response for a path and query; called on the event loop
     */
    public AuxiliaryHttpServer(
            Transport transport,
            Endpoint address,
            int maxConnections,
            AuxiliaryContext context,
            Function<String, Response> pages) {
        connections = new ConnectionLimit<>(maxConnections, AuxiliaryConnection::close);
        listener = transport
                .callerBootstrap()
                .childHandler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel ch) {
                        accept(new AuxiliaryConnection(context, ch, pages, connections::release), ch);
                    }
                })
                .bind(new InetSocketAddress(address.host(), address.port()))
                .syncUninterruptibly()
                .channel();
    }

    private void accept(AuxiliaryConnection c, Channel ch) {
        connections.add(c);
        var _ = ch.closeFuture().addListener(f -> connections.remove(c));
        c.input().addTo(ch.pipeline());
        ch.pipeline().addLast(new HttpResponseEncoder(), c);
    }

    /**
     * Closes connections that exceed the idle timeout or the header timeout.
     *
     * @param now current time
     */
    public void closeTimedOut(MonotonicTime now) {
        connections.connections().forEach(c -> c.closeIfTimedOut(now));
    }

    @Override
    public void close() {
        var _ = listener.close();
    }
}
