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

    /** Time that sent bytes may stay unacknowledged, in milliseconds: the same as probing takes. */
    private static final int USER_TIMEOUT_MS = 3_000;

    private static final int BACKLOG = 1_024;
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
     * The loop as Reactor Netty's clients take it.
     *
     * @return resources with this loop only
     */
    public LoopResources resources() {
        return resources;
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
            b.childOption(EpollChannelOption.TCP_KEEPIDLE, PROBE_IDLE_S)
                    .childOption(EpollChannelOption.TCP_KEEPINTVL, PROBE_INTERVAL_S)
                    .childOption(EpollChannelOption.TCP_KEEPCNT, PROBES)
                    .childOption(EpollChannelOption.TCP_USER_TIMEOUT, USER_TIMEOUT_MS);
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
            b.option(EpollChannelOption.TCP_KEEPIDLE, PROBE_IDLE_S)
                    .option(EpollChannelOption.TCP_KEEPINTVL, PROBE_INTERVAL_S)
                    .option(EpollChannelOption.TCP_KEEPCNT, PROBES)
                    .option(EpollChannelOption.TCP_USER_TIMEOUT, USER_TIMEOUT_MS);
        }
        return b;
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
