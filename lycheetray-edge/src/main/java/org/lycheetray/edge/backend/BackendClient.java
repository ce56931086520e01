package org.lycheetray.edge.backend;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ConnectTimeoutException;
import io.netty.handler.codec.http.HttpRequestEncoder;
import io.netty.handler.flow.FlowControlHandler;
import io.netty.handler.stream.ChunkedWriteHandler;
import java.net.ConnectException;
import java.net.NoRouteToHostException;
import java.net.SocketException;
import java.nio.channels.ClosedChannelException;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.Consumer;
import org.lycheetray.core.model.BackendServerName;
import org.lycheetray.core.registry.RegisteredServer;
import org.lycheetray.core.time.Clock;
import org.lycheetray.edge.MemoryBudget;
import org.lycheetray.edge.Transport;
import org.lycheetray.edge.dialect.BackendDialect;

/**
 * Sends requests to backend servers over pooled connections.
 *
 * <p>Not thread-safe: used on the event loop only.
 */
public final class BackendClient {
    /** Connect timeout: covers several round trips between regions; a server that is slower to connect is useless. */
    private static final Duration CONNECT_TIMEOUT = Duration.ofMillis(600);

    /** Time within which the socket of a terminating process drops a connection that it has accepted. */
    private static final Duration DROP_TIME = Duration.ofMillis(30);

    /** Maximum number of times a check for a crash is repeated because its connection was dropped. */
    private static final int MAX_CHECKS_AFTER_DROP = 5;

    private final Bootstrap bootstrap;
    private final BackendDialect dialect;
    private final Clock clock;
    private final MemoryBudget budget;
    private final ServerEvents events;
    private final Map<BackendServerName, Pool> pools = new HashMap<>();

    /** Connections to one incarnation of a server. */
    private static final class Pool {
        private final RegisteredServer server;
        private final ArrayDeque<BackendConnection> idle = new ArrayDeque<>();
        private int open;
        private boolean retired;

        Pool(RegisteredServer server) {
            this.server = server;
        }
    }

    /**
     * Creates a client without open connections.
     *
     * @param transport provides the event loop and its sockets
     * @param dialect headers exchanged with backend servers
     * @param clock used to measure idle times
     * @param budget limit of the memory for answers
     * @param events receives what connections reveal about their servers
     */
    public BackendClient(
            Transport transport, BackendDialect dialect, Clock clock, MemoryBudget budget, ServerEvents events) {
        this.bootstrap = transport.clientBootstrap(CONNECT_TIMEOUT);
        this.dialect = dialect;
        this.clock = clock;
        this.budget = budget;
        this.events = events;
    }

    /**
     * Sends a request to a server once, without retries.
     *
     * @param server server to send to
     * @param maxConnections limit of the local VM's connections to the server
     * @param request the request
     * @param callback called with the result, on the event loop
     * @return the attempt
     */
    public Attempt send(
            RegisteredServer server, int maxConnections, OutgoingRequest request, Consumer<AttemptResult> callback) {
        Attempt attempt = new Attempt(request, callback);
        send(server, maxConnections, attempt);
        return attempt;
    }

    /**
     * Begins an attempt at a server.
     *
     * @param server server to send to
     * @param maxConnections limit of the local VM's connections to the server
     * @param attempt the attempt, which has not begun
     */
    public void send(RegisteredServer server, int maxConnections, Attempt attempt) {
        Pool pool = poolFor(server);
        while (!pool.idle.isEmpty()) {
            BackendConnection c = pool.idle.removeLast();
            if (c.isReusable()) {
                c.send(attempt);
                return;
            }
            c.close();
        }
        if (pool.open >= maxConnections) {
            attempt.complete(new AttemptResult.NotRun(AttemptResult.NotRunReason.NO_CONNECTION));
            return;
        }
        connect(pool, attempt);
    }

    private Pool poolFor(RegisteredServer server) {
        Pool p = pools.get(server.name());
        if (p != null
                && p.server.endpoint().equals(server.endpoint())
                && p.server.incarnation() == server.incarnation()) {
            return p;
        }
        if (p != null) {
            retire(p);
        }
        Pool fresh = new Pool(server);
        pools.put(server.name(), fresh);
        return fresh;
    }

    private void connect(Pool pool, Attempt attempt) {
        NewConnection c = openConnection(pool);
        attempt.onCancel(() -> {
            var _ = c.channel().close();
        });
        var _ = c.connected()
                .addListener(
                        done -> handleConnected(c.connected(), c.connection().get(), pool, attempt));
    }

    /** A connection that is being established; its handler is set once the channel is initialized. */
    private record NewConnection(ChannelFuture connected, AtomicReference<BackendConnection> connection) {
        Channel channel() {
            return connected.channel();
        }
    }

    private NewConnection openConnection(Pool pool) {
        pool.open++;
        AtomicReference<BackendConnection> holder = new AtomicReference<>();
        ChannelFuture f = bootstrap
                .clone()
                .handler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel ch) {
                        holder.set(new BackendConnection(
                                ch,
                                dialect,
                                clock,
                                budget,
                                () -> returnToPool(pool, holder.get()),
                                pool.server,
                                events));
                        ch.pipeline()
                                .addLast(
                                        holder.get().byteCounter(),
                                        new HttpRequestEncoder(),
                                        holder.get().decoder(),
                                        new FlowControlHandler(),
                                        new ChunkedWriteHandler(),
                                        holder.get());
                    }
                })
                .connect(pool.server.endpoint().host(), pool.server.endpoint().port());
        var _ = f.channel().closeFuture().addListener(c -> {
            pool.open--;
            pool.idle.remove(holder.get());
        });
        var _ = f.addListener(c -> {
            if (c.isSuccess()) {
                events.connected(pool.server);
            } else if (!(c.cause() instanceof ClosedChannelException)) {
                events.notConnected(pool.server);
            }
        });
        return new NewConnection(f, holder);
    }

    /**
     * Opens a connection to a server to find out whether it can be reached; it is kept for the next request. The result is
     * reported as an event.
     *
     * @param server the server
     * @param callback called with true if the connection was established
     */
    public void checkReach(RegisteredServer server, Consumer<Boolean> callback) {
        Pool pool = poolFor(server);
        NewConnection c = openConnection(pool);
        var _ = c.connected().addListener(done -> {
            if (done.isSuccess()) {
                returnToPool(pool, c.connection().get());
            }
            callback.accept(done.isSuccess());
        });
    }

    /**
     * Tells a crash of a server from the loss of a connection to it, by opening another connection. If the server
     * accepts it, the connection is kept for the next request.
     *
     * <p>The socket of a terminating process may still accept connections and drop them, so the check is repeated after a
     * dropped connection.
     *
     * @param server the server to which a connection was lost
     * @param callback called with true if the server refuses connections or a later incarnation has taken its place
     */
    public void checkCrashed(RegisteredServer server, Consumer<Boolean> callback) {
        checkCrashed(server, MAX_CHECKS_AFTER_DROP, callback);
    }

    private void checkCrashed(RegisteredServer server, int repeats, Consumer<Boolean> callback) {
        Pool pool = pools.get(server.name());
        if (pool == null || pool.server.incarnation() != server.incarnation()) {
            callback.accept(pool != null && pool.server.incarnation() > server.incarnation());
            return;
        }
        NewConnection c = openConnection(pool);
        var _ = c.connected().addListener(done -> {
            if (done.isSuccess() || isDropped(done.cause())) {
                var _ = c.channel()
                        .eventLoop()
                        .schedule(
                                () -> checkKept(c, pool, repeats, callback),
                                DROP_TIME.toMillis(),
                                TimeUnit.MILLISECONDS);
            } else {
                callback.accept(isRefused(done.cause()));
            }
        });
    }

    private void checkKept(NewConnection c, Pool pool, int repeats, Consumer<Boolean> callback) {
        if (c.channel().isActive()) {
            returnToPool(pool, c.connection().get());
            callback.accept(false);
        } else if (repeats > 0) {
            checkCrashed(pool.server, repeats - 1, callback);
        } else {
            callback.accept(false);
        }
    }

    /** Returns whether a connection was reset before it was reported as established. */
    private static boolean isDropped(Throwable cause) {
        return cause instanceof SocketException
                && !(cause instanceof ConnectException)
                && !(cause instanceof NoRouteToHostException);
    }

    /** Returns whether a connection was refused, which a time-out or an unreachable network does not show. */
    private static boolean isRefused(Throwable cause) {
        return cause instanceof ConnectException && !(cause instanceof ConnectTimeoutException);
    }

    private void handleConnected(ChannelFuture f, BackendConnection connection, Pool pool, Attempt attempt) {
        if (!f.isSuccess()) {
            attempt.complete(new AttemptResult.NotRun(AttemptResult.NotRunReason.UNREACHABLE));
        } else if (attempt.isDone()) {
            returnToPool(pool, connection);
        } else {
            connection.send(attempt);
        }
    }

    private static void returnToPool(Pool pool, BackendConnection connection) {
        if (pool.retired) {
            connection.close();
        } else {
            pool.idle.addLast(connection);
        }
    }

    private static void retire(Pool p) {
        p.retired = true;
        List<BackendConnection> idle = List.copyOf(p.idle);
        p.idle.clear();
        idle.forEach(BackendConnection::close);
    }

    /**
     * Closes idle connections to servers that are no longer registered.
     *
     * @param present the registered servers
     */
    public void retainServers(Collection<RegisteredServer> present) {
        Set<BackendServerName> names = new HashSet<>();
        present.forEach(s -> names.add(s.name()));
        pools.values().removeIf(p -> {
            boolean gone = !names.contains(p.server.name());
            if (gone) {
                retire(p);
            }
            return gone;
        });
    }
}
