package org.lycheetray.daemon.peer;

import io.netty.buffer.Unpooled;
import io.netty.handler.codec.LengthFieldBasedFrameDecoder;
import io.vavr.control.Either;
import java.security.SecureRandom;
import java.time.Duration;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.BiConsumer;
import org.lycheetray.core.model.Incarnation;
import org.lycheetray.core.model.NameUtil;
import org.lycheetray.core.model.VmName;
import org.lycheetray.core.time.Clock;
import org.lycheetray.core.time.MonotonicTime;
import org.lycheetray.protocol.FleetSecret;
import org.lycheetray.protocol.FrameAuthenticator;
import org.lycheetray.protocol.MessageCodec;
import org.lycheetray.protocol.ProtocolError;
import org.lycheetray.protocol.generated.Envelope;
import org.lycheetray.protocol.generated.Failure;
import org.lycheetray.protocol.generated.Hello;
import org.lycheetray.protocol.generated.Reply;
import org.lycheetray.protocol.generated.Request;
import reactor.core.publisher.Mono;
import reactor.core.publisher.MonoSink;
import reactor.core.publisher.Sinks;
import reactor.netty.Connection;

/**
 * One connection to a peer, from the handshake to the close.
 *
 * <p>Frames are sealed, written and read on the connection's event loop only, so that the frame counters of the
 * authenticator stay in the order of transmission.
 */
final class PeerSession {
    /** The local role in the connection. */
    enum Role {
        /** The local VM opened the connection. */
        DIALLER,
        /** The peer opened the connection. */
        ACCEPTOR
    }

    private static final Duration HANDSHAKE_TIMEOUT = Duration.ofSeconds(2);
    private static final SecureRandom RANDOM = new SecureRandom();
    private static final String DECODER_NAME = "frame-decoder";
    private static final int LENGTH_BYTES = 4;

    private final Connection connection;
    private final Role role;
    private final String address;
    private final Clock clock;
    private final FleetSecret secret;
    private final PeerHandler handler;
    private final BiConsumer<String, String> onRefused;
    private final Hello localHello;
    private final Sinks.One<PeerSession> ready = Sinks.one();
    private final Map<Long, MonoSink<Reply>> pendingReplies = new ConcurrentHashMap<>();
    private final AtomicLong lastCorrelation = new AtomicLong();
    private FrameAuthenticator authenticator;
    private volatile Incarnation peer;
    private volatile boolean authenticated;
    private volatile MonotonicTime lastReceived;

    PeerSession(
            Connection connection,
            Role role,
            String address,
            Incarnation localIncarnation,
            FleetSecret secret,
            Clock clock,
            PeerHandler handler,
            BiConsumer<String, String> onRefused) {
        this.connection = connection;
        this.role = role;
        this.address = address;
        this.clock = clock;
        this.secret = secret;
        this.handler = handler;
        this.onRefused = onRefused;
        this.localHello = createHello(localIncarnation);
        this.lastReceived = clock.monotonic();
    }

    private static Hello createHello(Incarnation localIncarnation) {
        byte[] nonce = new byte[MessageCodec.NONCE_BYTES];
        RANDOM.nextBytes(nonce);
        Hello h = new Hello();
        h.setProtocolVersion(MessageCodec.PROTOCOL_VERSION);
        h.setVm(localIncarnation.vm().value());
        h.setIncarnation(localIncarnation.number());
        h.setNonce(nonce);
        return h;
    }

    void start() {
        connection.addHandlerLast(DECODER_NAME, decoder(MessageCodec.MAX_HELLO_BYTES));
        connection.onDispose(this::onClosed);
        connection
                .inbound()
                .receive()
                .asByteArray()
                .subscribe(
                        this::onFrame,
                        e -> close("receive failed: " + e),
                        () -> close("connection closed by the peer"));
        if (role == Role.DIALLER) {
            write(MessageCodec.encode(localHello));
        }
        var _ = connection
                .channel()
                .eventLoop()
                .schedule(this::checkHandshakeTimeout, HANDSHAKE_TIMEOUT.toMillis(), TimeUnit.MILLISECONDS);
    }

    Mono<PeerSession> ready() {
        return ready.asMono();
    }

    boolean isOpen() {
        return !connection.isDisposed();
    }

    /** Returns the peer's incarnation once an authentic frame has been received from it, otherwise null. */
    Incarnation authenticatedPeer() {
        return authenticated ? peer : null;
    }

    Duration timeSinceLastFrame() {
        return clock.monotonic().since(lastReceived);
    }

    Mono<Reply> call(Request request, Duration timeout) {
        long correlation = lastCorrelation.incrementAndGet();
        Mono<Reply> reply = Mono.create(sink -> {
            pendingReplies.put(correlation, sink);
            sink.onDispose(() -> pendingReplies.remove(correlation));
            Envelope e = new Envelope();
            e.setCorrelation(correlation);
            e.setRequest(request);
            send(e);
            if (!isOpen()) {
                sink.error(new PeerException("send", address, true, "connection closed"));
            }
        });
        return reply.timeout(
                timeout,
                Mono.error(
                        () -> new PeerException("await-reply", address, true, "no reply received within " + timeout)));
    }

    void close(String reason) {
        ready.tryEmitError(new PeerException("greeting", address, false, reason));
        connection.dispose();
    }

    private static LengthFieldBasedFrameDecoder decoder(int maxBytes) {
        return new LengthFieldBasedFrameDecoder(maxBytes, 0, LENGTH_BYTES, 0, LENGTH_BYTES);
    }

    private void checkHandshakeTimeout() {
        if (peer == null && isOpen()) {
            refuse("no Hello message received within " + HANDSHAKE_TIMEOUT);
        }
    }

    private void onFrame(byte[] frame) {
        lastReceived = clock.monotonic();
        if (authenticator == null) {
            MessageCodec.decodeHello(frame).peek(this::onHello).peekLeft(e -> refuse(e.toString()));
            return;
        }
        Either<ProtocolError, Envelope> envelope = authenticator.open(frame).flatMap(MessageCodec::decodeEnvelope);
        envelope.peek(this::onEnvelope).peekLeft(e -> refuse(e.toString()));
    }

    private void onHello(Hello peerHello) {
        if (!NameUtil.isName(peerHello.getVm())) {
            refuse("invalid VM name in the Hello message");
            return;
        }
        connection.channel().pipeline().replace(DECODER_NAME, DECODER_NAME, decoder(MessageCodec.MAX_FRAME_BYTES));
        peer = new Incarnation(new VmName(peerHello.getVm()), peerHello.getIncarnation());
        if (role == Role.ACCEPTOR) {
            write(MessageCodec.encode(localHello));
            authenticator = FrameAuthenticator.forAcceptor(secret, localHello, peerHello);
        } else {
            authenticator = FrameAuthenticator.forDialler(secret, localHello, peerHello);
        }
        ready.tryEmitValue(this);
    }

    private void onEnvelope(Envelope e) {
        authenticated = true;
        if (e.isSetReply()) {
            MonoSink<Reply> sink = pendingReplies.remove(e.getCorrelation());
            if (sink != null) {
                sink.success(e.getReply());
            }
        } else if (e.isSetRequest()) {
            handler.handle(peer, e.getRequest())
                    .onErrorResume(x -> Mono.just(Reply.failure(new Failure("handle", String.valueOf(x)))))
                    .subscribe(reply -> sendReply(e.getCorrelation(), reply));
        }
    }

    private void sendReply(long correlation, Reply reply) {
        Envelope e = new Envelope();
        e.setCorrelation(correlation);
        e.setReply(reply);
        send(e);
    }

    private void send(Envelope e) {
        byte[] message = MessageCodec.encode(e);
        connection.channel().eventLoop().execute(() -> write(authenticator.seal(message)));
    }

    private void write(byte[] frame) {
        var length = Unpooled.buffer(LENGTH_BYTES).writeInt(frame.length);
        var _ = connection.channel().writeAndFlush(Unpooled.wrappedBuffer(length, Unpooled.wrappedBuffer(frame)));
    }

    private void refuse(String reason) {
        onRefused.accept(address, reason);
        close(reason);
    }

    private void onClosed() {
        ready.tryEmitError(new PeerException("greeting", address, false, "connection closed"));
        pendingReplies
                .values()
                .forEach(s -> s.error(new PeerException("await-reply", address, true, "connection closed")));
        pendingReplies.clear();
    }
}
