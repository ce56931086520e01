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
 * One connection to a peer, from greeting to close.
 *
 * <p>Frames are written and read on the connection's event loop, which keeps the authenticator's counters in order.
 */
final class PeerSession {
    /** Which end of the connection this is. */
    enum Role {
        /** This end opened the connection. */
        DIALLER,
        /** The other end opened the connection. */
        ACCEPTOR
    }

    private static final Duration GREETING_LIMIT = Duration.ofSeconds(2);
    private static final SecureRandom RANDOM = new SecureRandom();
    private static final String DECODER = "frame-decoder";
    private static final int LENGTH_BYTES = 4;

    private final Connection connection;
    private final Role role;
    private final String address;
    private final Clock clock;
    private final FleetSecret secret;
    private final PeerHandler handler;
    private final BiConsumer<String, String> refused;
    private final Hello mine;
    private final Sinks.One<PeerSession> ready = Sinks.one();
    private final Map<Long, MonoSink<Reply>> waiting = new ConcurrentHashMap<>();
    private final AtomicLong correlations = new AtomicLong();
    private FrameAuthenticator authenticator;
    private volatile Incarnation peer;
    private volatile boolean proven;
    private volatile MonotonicTime lastReceived;

    PeerSession(
            Connection connection,
            Role role,
            String address,
            Incarnation self,
            FleetSecret secret,
            Clock clock,
            PeerHandler handler,
            BiConsumer<String, String> refused) {
        this.connection = connection;
        this.role = role;
        this.address = address;
        this.clock = clock;
        this.secret = secret;
        this.handler = handler;
        this.refused = refused;
        this.mine = hello(self);
        this.lastReceived = clock.monotonic();
    }

    private static Hello hello(Incarnation self) {
        byte[] nonce = new byte[MessageCodec.NONCE_BYTES];
        RANDOM.nextBytes(nonce);
        Hello h = new Hello();
        h.setProtocolVersion(MessageCodec.PROTOCOL_VERSION);
        h.setVm(self.vm().value());
        h.setIncarnation(self.number());
        h.setNonce(nonce);
        return h;
    }

    void start() {
        connection.addHandlerLast(DECODER, decoder(MessageCodec.MAX_HELLO_BYTES));
        connection.onDispose(this::ended);
        connection
                .inbound()
                .receive()
                .asByteArray()
                .subscribe(this::onFrame, e -> close("receive: " + e), () -> close("closed by the peer"));
        if (role == Role.DIALLER) {
            write(MessageCodec.encode(mine));
        }
        var _ = connection
                .channel()
                .eventLoop()
                .schedule(this::checkGreeting, GREETING_LIMIT.toMillis(), TimeUnit.MILLISECONDS);
    }

    Mono<PeerSession> ready() {
        return ready.asMono();
    }

    boolean isOpen() {
        return !connection.isDisposed();
    }

    /** The peer's process once a frame of its own has proved that it knows the secret, otherwise null. */
    Incarnation provenPeer() {
        return proven ? peer : null;
    }

    Duration silentFor() {
        return clock.monotonic().since(lastReceived);
    }

    Mono<Reply> call(Request request, Duration timeout) {
        long correlation = correlations.incrementAndGet();
        Mono<Reply> reply = Mono.create(sink -> {
            waiting.put(correlation, sink);
            sink.onDispose(() -> waiting.remove(correlation));
            Envelope e = new Envelope();
            e.setCorrelation(correlation);
            e.setRequest(request);
            send(e);
            if (!isOpen()) {
                sink.error(new PeerException("send", address, true, "connection closed"));
            }
        });
        return reply.timeout(
                timeout, Mono.error(() -> new PeerException("await-reply", address, true, "no reply in " + timeout)));
    }

    void close(String reason) {
        ready.tryEmitError(new PeerException("greeting", address, false, reason));
        connection.dispose();
    }

    private static LengthFieldBasedFrameDecoder decoder(int maxBytes) {
        return new LengthFieldBasedFrameDecoder(maxBytes, 0, LENGTH_BYTES, 0, LENGTH_BYTES);
    }

    private void checkGreeting() {
        if (peer == null && isOpen()) {
            refuse("no greeting in " + GREETING_LIMIT);
        }
    }

    private void onFrame(byte[] frame) {
        lastReceived = clock.monotonic();
        if (authenticator == null) {
            MessageCodec.decodeHello(frame).peek(this::greeted).peekLeft(e -> refuse(e.toString()));
            return;
        }
        Either<ProtocolError, Envelope> envelope = authenticator.open(frame).flatMap(MessageCodec::decodeEnvelope);
        envelope.peek(this::onEnvelope).peekLeft(e -> refuse(e.toString()));
    }

    private void greeted(Hello theirs) {
        if (!NameUtil.isName(theirs.getVm())) {
            refuse("greeting with an impossible name");
            return;
        }
        connection.channel().pipeline().replace(DECODER, DECODER, decoder(MessageCodec.MAX_FRAME_BYTES));
        peer = new Incarnation(new VmName(theirs.getVm()), theirs.getIncarnation());
        if (role == Role.ACCEPTOR) {
            write(MessageCodec.encode(mine));
            authenticator = FrameAuthenticator.forAcceptor(secret, mine, theirs);
        } else {
            authenticator = FrameAuthenticator.forDialler(secret, mine, theirs);
        }
        ready.tryEmitValue(this);
    }

    private void onEnvelope(Envelope e) {
        proven = true;
        if (e.isSetReply()) {
            MonoSink<Reply> sink = waiting.remove(e.getCorrelation());
            if (sink != null) {
                sink.success(e.getReply());
            }
        } else if (e.isSetRequest()) {
            handler.handle(peer, e.getRequest())
                    .onErrorResume(x -> Mono.just(Reply.failure(new Failure("handle", String.valueOf(x)))))
                    .subscribe(reply -> answer(e.getCorrelation(), reply));
        }
    }

    private void answer(long correlation, Reply reply) {
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
        refused.accept(address, reason);
        close(reason);
    }

    private void ended() {
        ready.tryEmitError(new PeerException("greeting", address, false, "connection closed"));
        waiting.values().forEach(s -> s.error(new PeerException("await-reply", address, true, "connection closed")));
        waiting.clear();
    }
}
