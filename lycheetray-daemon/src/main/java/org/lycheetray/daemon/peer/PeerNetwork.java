package org.lycheetray.daemon.peer;

import io.netty.channel.ChannelOption;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.EnumMap;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedDeque;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.LongAdder;
import org.lycheetray.core.model.Endpoint;
import org.lycheetray.core.model.Incarnation;
import org.lycheetray.core.time.Clock;
import org.lycheetray.daemon.log.LogEvent;
import org.lycheetray.daemon.log.RateLimitedLog;
import org.lycheetray.protocol.FleetSecret;
import org.lycheetray.protocol.generated.Failure;
import org.lycheetray.protocol.generated.Ping;
import org.lycheetray.protocol.generated.Pong;
import org.lycheetray.protocol.generated.Reply;
import org.lycheetray.protocol.generated.Request;
import reactor.core.Disposable;
import reactor.core.publisher.Mono;
import reactor.core.scheduler.Schedulers;
import reactor.netty.Connection;
import reactor.netty.DisposableServer;
import reactor.netty.tcp.TcpClient;
import reactor.netty.tcp.TcpServer;

/**
 * Sends requests to other entry VMs and dispatches requests received from them.
 *
 * <p>There is one connection per peer and direction. Outgoing connections are probed periodically. A connection on
 * which nothing has been received for longer than the silence timeout is closed, and the next request reconnects. A
 * half-open TCP connection is therefore not mistaken for a failed peer.
 */
public final class PeerNetwork implements AutoCloseable {
    /** Timeout for opening a connection, handshake included. */
    public static final Duration CONNECT_TIMEOUT = Duration.ofSeconds(1);

    private static final Duration PROBE_INTERVAL = Duration.ofSeconds(1);
    private static final Duration SILENCE_TIMEOUT = Duration.ofSeconds(3);
    private static final Duration REFUSAL_LOG_INTERVAL = Duration.ofMinutes(1);

    private final Incarnation localIncarnation;
    private final FleetSecret secret;
    private final Clock clock;
    private final Map<Request._Fields, PeerHandler> handlers = new EnumMap<>(Request._Fields.class);
    private final Map<Endpoint, PeerClient> clients = new ConcurrentHashMap<>();
    private final RateLimitedLog refusalLog;
    private final LongAdder refusedConnections = new LongAdder();
    private final ConcurrentLinkedDeque<PeerSession> unauthenticated = new ConcurrentLinkedDeque<>();
    private final Disposable probeTask;
    private DisposableServer server;

    private PeerNetwork(Incarnation localIncarnation, FleetSecret secret, Clock clock) {
        this.localIncarnation = localIncarnation;
        this.secret = secret;
        this.clock = clock;
        this.refusalLog = new RateLimitedLog(clock, REFUSAL_LOG_INTERVAL);
        handlers.put(Request._Fields.PING, (from, request) -> Mono.just(Reply.pong(new Pong())));
        probeTask = Schedulers.parallel()
                .schedulePeriodically(
                        this::probeAll, PROBE_INTERVAL.toMillis(), PROBE_INTERVAL.toMillis(), TimeUnit.MILLISECONDS);
    }

    /**
     * Creates a network that can send requests but does not accept connections until {@link #listen} is called.
     *
     * @param localIncarnation incarnation of the local VM
     * @param secret secret shared by all entry VMs
     * @param clock clock for silence detection and log rate limits
     * @return the network
     */
    public static PeerNetwork create(Incarnation localIncarnation, FleetSecret secret, Clock clock) {
        return new PeerNetwork(localIncarnation, secret, clock);
    }

    /**
     * Registers the handler for one type of request. Must be called before {@link #listen}.
     *
     * @param kind the request type
     * @param handler handles requests of this type
     */
    public void registerHandler(Request._Fields kind, PeerHandler handler) {
        handlers.put(kind, handler);
    }

    /**
     * Starts accepting connections.
     *
     * @param address address to listen on
     * @param maxUnauthenticated maximum number of open connections that are not authenticated; for a further one the
     *     oldest is closed
     */
    public void listen(Endpoint address, int maxUnauthenticated) {
        server = TcpServer.create()
                .bindAddress(() -> new InetSocketAddress(address.host(), address.port()))
                .option(ChannelOption.SO_REUSEADDR, true)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .doOnConnection(c -> accept(c, maxUnauthenticated))
                .bindNow();
    }

    /**
     * Sends a request to a peer, connecting first if necessary.
     *
     * @param peer address of the peer
     * @param request the request
     * @param timeout timeout for connecting and, separately, for the reply
     * @return the reply, or a {@link PeerException} as the error signal
     */
    public Mono<Reply> call(Endpoint peer, Request request, Duration timeout) {
        PeerClient client = clients.computeIfAbsent(peer, p -> new PeerClient(this::connect, p));
        return client.call(request, timeout).flatMap(reply -> failureToError(peer, reply));
    }

    /**
     * Returns the number of connections closed because the other end violated the protocol or failed authentication.
     *
     * @return the number of refused connections since the process started
     */
    public long refusedConnections() {
        return refusedConnections.sum();
    }

    /**
     * Returns the authenticated incarnation of the peer at an address.
     *
     * @param peer address of the peer
     * @return the incarnation, or empty if there is no open, authenticated connection to the address
     */
    public Optional<Incarnation> connectedIncarnation(Endpoint peer) {
        return Optional.ofNullable(clients.get(peer)).flatMap(PeerClient::connectedIncarnation);
    }

    private static Mono<Reply> failureToError(Endpoint peer, Reply reply) {
        if (!reply.isSetFailure()) {
            return Mono.just(reply);
        }
        Failure f = reply.getFailure();
        return Mono.error(new PeerException(f.getStep(), peer.toString(), true, f.getMessage()));
    }

    private Mono<PeerSession> connect(Endpoint peer) {
        return TcpClient.newConnection()
                .host(peer.host())
                .port(peer.port())
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, (int) CONNECT_TIMEOUT.toMillis())
                .option(ChannelOption.TCP_NODELAY, true)
                .connect()
                .flatMap(c -> startSession(c, PeerSession.Role.DIALLER, peer.toString())
                        .ready());
    }

    private void accept(Connection c, int maxUnauthenticated) {
        PeerSession session = startSession(
                c, PeerSession.Role.ACCEPTOR, String.valueOf(c.channel().remoteAddress()));
        unauthenticated.add(session);
        c.onDispose(() -> unauthenticated.remove(session));
        unauthenticated.removeIf(s -> s.authenticatedPeer() != null);
        if (unauthenticated.size() > maxUnauthenticated) {
            PeerSession oldest = unauthenticated.pollFirst();
            if (oldest != null) {
                oldest.close("too many connections that are not authenticated");
            }
        }
    }

    private PeerSession startSession(Connection c, PeerSession.Role role, String address) {
        PeerSession session =
                new PeerSession(c, role, address, localIncarnation, secret, clock, this::dispatch, this::recordRefusal);
        session.start();
        return session;
    }

    private Mono<Reply> dispatch(Incarnation from, Request request) {
        PeerHandler handler = request.isSet() ? handlers.get(request.getSetField()) : null;
        if (handler == null) {
            return Mono.just(Reply.failure(new Failure("dispatch", "no handler for this kind of request")));
        }
        return handler.handle(from, request);
    }

    private void recordRefusal(String address, String reason) {
        refusedConnections.increment();
        String host = address.contains(":") ? address.substring(0, address.lastIndexOf(':')) : address;
        refusalLog.logOncePerInterval(
                host,
                () -> LogEvent.of("peer-refused")
                        .with("step", "greeting")
                        .with("peer", address)
                        .with("cause", reason)
                        .warn());
    }

    private void probeAll() {
        clients.values().forEach(client -> client.probe(Request.ping(new Ping()), PROBE_INTERVAL, SILENCE_TIMEOUT));
    }

    @Override
    public void close() {
        probeTask.dispose();
        if (server != null) {
            server.disposeNow();
        }
        clients.values().forEach(PeerClient::close);
    }
}
