package org.lycheetray.daemon.peer;

import io.netty.channel.ChannelOption;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.EnumMap;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.LongAdder;
import org.lycheetray.core.model.Endpoint;
import org.lycheetray.core.model.Incarnation;
import org.lycheetray.core.time.Clock;
import org.lycheetray.daemon.log.LimitedLog;
import org.lycheetray.daemon.log.LogEvent;
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
 * Requests to other entry VMs and their requests to this one.
 *
 * <p>There is one connection per direction and peer. Each connection is probed; one that has gone silent is closed and the
 * next request dials anew, so that a lost connection state between two ends is not taken for a dead peer.
 */
public final class PeerNetwork implements AutoCloseable {
    /** Time allowed for opening a connection. */
    public static final Duration CONNECT_TIMEOUT = Duration.ofSeconds(1);

    private static final Duration PROBE_PERIOD = Duration.ofSeconds(1);
    private static final Duration SILENCE_LIMIT = Duration.ofSeconds(3);
    private static final Duration REFUSAL_LOG_PERIOD = Duration.ofMinutes(1);

    private final Incarnation self;
    private final FleetSecret secret;
    private final Clock clock;
    private final Map<Request._Fields, PeerHandler> handlers = new EnumMap<>(Request._Fields.class);
    private final Map<Endpoint, PeerLink> links = new ConcurrentHashMap<>();
    private final LimitedLog refusals;
    private final LongAdder refusedConnections = new LongAdder();
    private final Disposable probes;
    private DisposableServer server;

    private PeerNetwork(Incarnation self, FleetSecret secret, Clock clock) {
        this.self = self;
        this.secret = secret;
        this.clock = clock;
        this.refusals = new LimitedLog(clock, REFUSAL_LOG_PERIOD);
        handlers.put(Request._Fields.PING, (from, request) -> Mono.just(Reply.pong(new Pong())));
        probes = Schedulers.parallel()
                .schedulePeriodically(
                        this::probeAll, PROBE_PERIOD.toMillis(), PROBE_PERIOD.toMillis(), TimeUnit.MILLISECONDS);
    }

    /**
     * Creates a network that can dial but does not listen yet.
     *
     * @param self this process
     * @param secret secret shared by the fleet
     * @param clock clock for silence limits
     * @return the network
     */
    public static PeerNetwork create(Incarnation self, FleetSecret secret, Clock clock) {
        return new PeerNetwork(self, secret, clock);
    }

    /**
     * Registers the handler of one kind of request; must be done before {@link #listen}.
     *
     * @param kind the kind of request
     * @param handler answers it
     */
    public void handle(Request._Fields kind, PeerHandler handler) {
        handlers.put(kind, handler);
    }

    /**
     * Starts to accept connections.
     *
     * @param address address to listen on
     */
    public void listen(Endpoint address) {
        server = TcpServer.create()
                .bindAddress(() -> new InetSocketAddress(address.host(), address.port()))
                .option(ChannelOption.SO_REUSEADDR, true)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .doOnConnection(this::accept)
                .bindNow();
    }

    /**
     * Sends a request and waits for its reply.
     *
     * @param peer address of the peer
     * @param request the request
     * @param timeout time allowed, connecting included
     * @return the reply, or a {@link PeerException}
     */
    public Mono<Reply> call(Endpoint peer, Request request, Duration timeout) {
        PeerLink link = links.computeIfAbsent(peer, p -> new PeerLink(this::dial, p));
        return link.call(request, timeout).flatMap(reply -> unwrap(peer, reply));
    }

    /**
     * Counts connections that were closed because the other end did not speak the protocol or know the secret.
     *
     * @return the number since start
     */
    public long refusedConnections() {
        return refusedConnections.sum();
    }

    /**
     * Tells which process answered last at an address.
     *
     * @param peer address of the peer
     * @return its incarnation while a connection is open
     */
    public Optional<Incarnation> connectedTo(Endpoint peer) {
        return Optional.ofNullable(links.get(peer)).flatMap(PeerLink::connectedTo);
    }

    private static Mono<Reply> unwrap(Endpoint peer, Reply reply) {
        if (!reply.isSetFailure()) {
            return Mono.just(reply);
        }
        Failure f = reply.getFailure();
        return Mono.error(new PeerException(f.getStep(), peer.toString(), true, f.getMessage()));
    }

    private Mono<PeerSession> dial(Endpoint peer) {
        return TcpClient.newConnection()
                .host(peer.host())
                .port(peer.port())
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, (int) CONNECT_TIMEOUT.toMillis())
                .option(ChannelOption.TCP_NODELAY, true)
                .connect()
                .flatMap(c ->
                        session(c, PeerSession.Role.DIALLER, peer.toString()).ready());
    }

    private void accept(Connection c) {
        var _ = session(c, PeerSession.Role.ACCEPTOR, String.valueOf(c.channel().remoteAddress()));
    }

    private PeerSession session(Connection c, PeerSession.Role role, String address) {
        PeerSession session = new PeerSession(c, role, address, self, secret, clock, this::dispatch, this::refused);
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

    private void refused(String address, String reason) {
        refusedConnections.increment();
        String host = address.contains(":") ? address.substring(0, address.lastIndexOf(':')) : address;
        refusals.once(
                host,
                () -> LogEvent.of("peer-refused")
                        .with("step", "greeting")
                        .with("peer", address)
                        .with("cause", reason)
                        .warn());
    }

    private void probeAll() {
        links.values().forEach(link -> link.probe(Request.ping(new Ping()), PROBE_PERIOD, SILENCE_LIMIT));
    }

    @Override
    public void close() {
        probes.dispose();
        if (server != null) {
            server.disposeNow();
        }
        links.values().forEach(PeerLink::close);
    }
}
