package org.lycheetray.edge;

import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.AdaptiveRecvByteBufAllocator;
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
 * The single event loop of an entry VM, and bootstraps for sockets that use it.
 *
 * <p>All routing state is read and changed on this loop only, so that it needs no locks.
 */
public final class Transport implements AutoCloseable {
    /** Idle time in seconds before TCP keep-alive probes start; below the time in which a change must take effect. */
    private static final int KEEPALIVE_IDLE_S = 1;

    private static final int KEEPALIVE_INTERVAL_S = 1;
    private static final int KEEPALIVE_PROBES = 2;

    /** TCP keep-alive options, which detect a connection whose network path has failed. */
    private static final Map<ChannelOption<Integer>, Integer> KEEPALIVE_OPTIONS = Map.of(
            EpollChannelOption.TCP_KEEPIDLE, KEEPALIVE_IDLE_S,
            EpollChannelOption.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S,
            EpollChannelOption.TCP_KEEPCNT, KEEPALIVE_PROBES);

    /** Longest time in milliseconds that sent data may stay unacknowledged; the time that keep-alive probing takes. */
    private static final int USER_TIMEOUT_MS = 3_000;

    private static final int ACCEPT_BACKLOG = 1_024;

    /** Sizes of the buffer into which bytes of a caller are read; a buffer is kept while it holds an incomplete line. */
    private static final int MIN_READ_BYTES = 64;

    private static final int FIRST_READ_BYTES = 2 << 10;
    private static final int MAX_READ_BYTES = 16 << 10;

    /** Maximum number of reads from one caller before the others have their turn. */
    private static final int MAX_READS_PER_TURN = 4;

    /** Connect timeout of an HTTP call in milliseconds; long enough to retransmit one lost packet. */
    private static final int CALL_CONNECT_TIMEOUT_MS = 1_000;

    /** Connections to one peer: two for long polls that wait for changes, and two for short calls. */
    private static final int MAX_CONNECTIONS_PER_PEER = 4;

    private static final Duration CLOSE_TIMEOUT = Duration.ofMillis(300);

    private final LoopResources resources = LoopResources.create("edge", 1, true);
    private final EventLoopGroup group = resources.onServer(true);
    private final EventLoop loop = group.next();

    /**
     * Returns the event loop.
     *
     * @return the event loop that all components share
     */
    public EventLoop eventLoop() {
        return loop;
    }

    /**
     * Creates a bootstrap for a TCP listener.
     *
     * @return a bootstrap without handlers
     */
    public ServerBootstrap serverBootstrap() {
        ServerBootstrap b = new ServerBootstrap()
                .group(group)
                .channel(resources.onChannelClass(ServerSocketChannel.class, group))
                .option(ChannelOption.SO_BACKLOG, ACCEPT_BACKLOG)
                .option(ChannelOption.SO_REUSEADDR, true)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childOption(ChannelOption.SO_KEEPALIVE, true);
        if (isEpoll()) {
            KEEPALIVE_OPTIONS.forEach(b::childOption);
            b.childOption(EpollChannelOption.TCP_USER_TIMEOUT, USER_TIMEOUT_MS);
        }
        return b;
    }

    /**
     * Creates a bootstrap for a TCP listener for callers, which may send more than the VM can handle.
     *
     * @return a bootstrap without handlers, whose connections read little at a time
     */
    public ServerBootstrap callerBootstrap() {
        return serverBootstrap()
                .childOption(
                        ChannelOption.RECVBUF_ALLOCATOR,
                        new AdaptiveRecvByteBufAllocator(MIN_READ_BYTES, FIRST_READ_BYTES, MAX_READ_BYTES)
                                .maxMessagesPerRead(MAX_READS_PER_TURN));
    }

    /**
     * Creates a bootstrap for an outgoing TCP connection.
     *
     * @param connectTimeout longest time to connect
     * @return a bootstrap without a handler
     */
    public Bootstrap clientBootstrap(Duration connectTimeout) {
        Bootstrap b = new Bootstrap()
                .group(group)
                .channel(resources.onChannelClass(SocketChannel.class, group))
                .option(ChannelOption.TCP_NODELAY, true)
                .option(ChannelOption.SO_KEEPALIVE, true)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, (int) connectTimeout.toMillis());
        if (isEpoll()) {
            KEEPALIVE_OPTIONS.forEach(b::option);
            b.option(EpollChannelOption.TCP_USER_TIMEOUT, USER_TIMEOUT_MS);
        }
        return b;
    }

    /**
     * Creates an HTTP client for one peer.
     *
     * @param peer address of the peer
     * @param connections connection pool, which the caller must dispose
     * @return a client that does not retry and has its connection timeouts set
     */
    public HttpClient httpClient(Endpoint peer, ConnectionProvider connections) {
        HttpClient c = HttpClient.create(connections)
                .runOn(resources)
                .host(peer.host())
                .port(peer.port())
                .disableRetry(true)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CALL_CONNECT_TIMEOUT_MS)
                .option(ChannelOption.SO_KEEPALIVE, true);
        if (isEpoll()) {
            for (Map.Entry<ChannelOption<Integer>, Integer> o : KEEPALIVE_OPTIONS.entrySet()) {
                c = c.option(o.getKey(), o.getValue());
            }
        }
        return c;
    }

    /**
     * Creates a connection pool for {@link #httpClient}.
     *
     * @param name name of the peer in errors
     * @return a pool
     */
    public ConnectionProvider connectionPool(String name) {
        return ConnectionProvider.builder(name)
                .maxConnections(MAX_CONNECTIONS_PER_PEER)
                .build();
    }

    /**
     * Creates a bootstrap for a datagram socket.
     *
     * @return a bootstrap without a handler
     */
    public Bootstrap datagramBootstrap() {
        return new Bootstrap().group(group).channel(resources.onChannelClass(DatagramChannel.class, group));
    }

    private boolean isEpoll() {
        return resources.onChannelClass(SocketChannel.class, group) == EpollSocketChannel.class;
    }

    @Override
    public void close() {
        resources.disposeLater(Duration.ZERO, CLOSE_TIMEOUT).block(CLOSE_TIMEOUT.multipliedBy(2));
    }
}
