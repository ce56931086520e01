package org.lycheetray.edge;

import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.epoll.EpollChannelOption;
import io.netty.channel.epoll.EpollSocketChannel;
import io.netty.channel.socket.DatagramChannel;
import io.netty.channel.socket.ServerSocketChannel;
import io.netty.channel.socket.SocketChannel;
import java.time.Duration;
import java.util.Map;
import org.lycheetray.core.model.Endpoint;
import reactor.netty.http.client.HttpClient;
import reactor.netty.resources.ConnectionProvider;
import reactor.netty.resources.LoopResources;

/**
 * The one event loop of an edge, and sockets that use it.
 *
 * <p>Everything that the edge decides happens on this loop, so that no decision needs a lock.
 */
public final class Transport implements AutoCloseable {
    /** Silence on a connection after which its path is probed, in seconds: below the time in which a change must act. */
    private static final int PROBE_IDLE_S = 1;

    private static final int PROBE_INTERVAL_S = 1;
    private static final int PROBES = 2;

    /** Probes of the path of a silent connection. */
    private static final Map<ChannelOption<Integer>, Integer> PROBING = Map.of(
            EpollChannelOption.TCP_KEEPIDLE, PROBE_IDLE_S,
            EpollChannelOption.TCP_KEEPINTVL, PROBE_INTERVAL_S,
            EpollChannelOption.TCP_KEEPCNT, PROBES);

    /** Time that sent bytes may stay unacknowledged, in milliseconds: the same as probing takes. */
    private static final int USER_TIMEOUT_MS = 3_000;

    private static final int BACKLOG = 1_024;

    /** Longest time to connect for a call, in milliseconds: long enough for one lost packet. */
    private static final int CALL_CONNECT_TIMEOUT_MS = 1_000;

    /** Calls to one peer at one time: two that wait for changes, and two short ones. */
    private static final int CALL_CONNECTIONS = 4;

    private static final Duration CLOSE_LIMIT = Duration.ofMillis(300);

    private final LoopResources resources = LoopResources.create("edge", 1, true);
    private final EventLoopGroup group = resources.onServer(true);
    private final EventLoop loop = group.next();

    /**
     * The loop.
     *
     * @return the event loop that all parts share
     */
    public EventLoop loop() {
        return loop;
    }

    /**
     * Prepares a listener.
     *
     * @return a bootstrap without handlers
     */
    public ServerBootstrap server() {
        ServerBootstrap b = new ServerBootstrap()
                .group(group)
                .channel(resources.onChannelClass(ServerSocketChannel.class, group))
                .option(ChannelOption.SO_BACKLOG, BACKLOG)
                .option(ChannelOption.SO_REUSEADDR, true)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childOption(ChannelOption.SO_KEEPALIVE, true);
        if (isEpoll()) {
            PROBING.forEach(b::childOption);
            b.childOption(EpollChannelOption.TCP_USER_TIMEOUT, USER_TIMEOUT_MS);
        }
        return b;
    }

    /**
     * Prepares a connection.
     *
     * @param connectTimeout longest time to connect
     * @return a bootstrap without handler
     */
    public Bootstrap client(Duration connectTimeout) {
        Bootstrap b = new Bootstrap()
                .group(group)
                .channel(resources.onChannelClass(SocketChannel.class, group))
                .option(ChannelOption.TCP_NODELAY, true)
                .option(ChannelOption.SO_KEEPALIVE, true)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, (int) connectTimeout.toMillis());
        if (isEpoll()) {
            PROBING.forEach(b::option);
            b.option(EpollChannelOption.TCP_USER_TIMEOUT, USER_TIMEOUT_MS);
        }
        return b;
    }

    /**
     * Prepares calls to one peer over HTTP.
     *
     * @param peer address of the peer
     * @param connections kept connections, which the caller closes in the end
     * @return a client that sends each call once, with all limits set
     */
    public HttpClient calls(Endpoint peer, ConnectionProvider connections) {
        HttpClient c = HttpClient.create(connections)
                .runOn(resources)
                .host(peer.host())
                .port(peer.port())
                .disableRetry(true)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CALL_CONNECT_TIMEOUT_MS)
                .option(ChannelOption.SO_KEEPALIVE, true);
        if (isEpoll()) {
            for (Map.Entry<ChannelOption<Integer>, Integer> o : PROBING.entrySet()) {
                c = c.option(o.getKey(), o.getValue());
            }
        }
        return c;
    }

    /**
     * Makes room for the connections of {@link #calls}.
     *
     * @param name name of the peer in errors
     * @return a pool
     */
    public ConnectionProvider connections(String name) {
        return ConnectionProvider.builder(name).maxConnections(CALL_CONNECTIONS).build();
    }

    /**
     * Prepares a datagram socket.
     *
     * @return a bootstrap without handler
     */
    public Bootstrap datagrams() {
        return new Bootstrap().group(group).channel(resources.onChannelClass(DatagramChannel.class, group));
    }

    private boolean isEpoll() {
        return resources.onChannelClass(SocketChannel.class, group) == EpollSocketChannel.class;
    }

    @Override
    public void close() {
        resources.disposeLater(Duration.ZERO, CLOSE_LIMIT).block(CLOSE_LIMIT.multipliedBy(2));
    }
}
