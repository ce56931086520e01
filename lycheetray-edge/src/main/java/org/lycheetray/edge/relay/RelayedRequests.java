package org.lycheetray.edge.relay;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.vavr.control.Either;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.Locale;
import java.util.Optional;
import java.util.Set;
import org.lycheetray.core.fleet.FleetMember;
import org.lycheetray.core.model.BackendServerName;
import org.lycheetray.core.model.ClientAccountName;
import org.lycheetray.core.model.VmName;
import org.lycheetray.core.placement.ServerAvailability;
import org.lycheetray.core.registry.RegisteredServer;
import org.lycheetray.core.time.MonotonicTime;
import org.lycheetray.daemon.limit.ConnectionLimit;
import org.lycheetray.daemon.limit.HeadCost;
import org.lycheetray.daemon.request.Body;
import org.lycheetray.edge.BodyBuffer;
import org.lycheetray.edge.MemoryBudget;
import org.lycheetray.edge.backend.Attempt;
import org.lycheetray.edge.backend.AttemptResult;
import org.lycheetray.edge.backend.AttemptResult.NotRunReason;
import org.lycheetray.edge.backend.OutgoingRequest;
import org.lycheetray.edge.dialect.BackendDialect;
import org.lycheetray.protocol.generated.RelayAnswer;
import org.lycheetray.protocol.generated.RelayMessage;
import org.lycheetray.protocol.generated.RelayNotRun;
import org.lycheetray.protocol.generated.RelayRequest;
import org.lycheetray.protocol.generated.RelayUnknown;

/**
 * A connection from another VM, which asks for one request at a time to be sent to a backend server.
 *
 * <p>The request is sent by this VM's own connections to the server that the other VM has chosen, or not at all: it is never
 * passed on to a third VM. If the connection ends, the request is cancelled.
 */
final class RelayedRequests extends SimpleChannelInboundHandler<ByteBuf> {
    /** Memory counted for a request besides its head and body. */
    private static final int REQUEST_BYTES = 4 << 10;

    private static final String UNKNOWN_SENDER = "sender is no VM of the fleet";

    private final Channel channel;
    private final RelayContext context;
    private final ConnectionLimit<RelayedRequests> limit;
    private RelayRequest head;
    private MonotonicTime readAt;
    private MemoryBudget.RequestMemory memory;
    private BodyBuffer body;
    private long received;
    private boolean dropped;
    private Optional<Attempt> attempt = Optional.empty();
    private boolean sending;

    RelayedRequests(Channel channel, RelayContext context, ConnectionLimit<RelayedRequests> limit) {
        this.channel = channel;
        this.context = context;
        this.limit = limit;
    }

    boolean isInProgress() {
        return head != null;
    }

    void close() {
        var _ = channel.close();
    }

    @Override
    protected void channelRead0(ChannelHandlerContext ctx, ByteBuf frame) {
        RelayFrames.decode(frame).peek(this::handle).peekLeft(e -> reject("unreadable message: " + e));
    }

    private void handle(RelayMessage m) {
        if (m.isSetRequest() && head == null) {
            handleHead(m.getRequest());
        } else if (m.isSetBody() && head != null && !sending) {
            handleBody(m.getBody().getContent());
        } else {
            reject("unexpected message");
        }
    }

    private void handleHead(RelayRequest r) {
        Optional<String> fault = fault(r);
        if (fault.isPresent()) {
            reject(fault.get());
            return;
        }
        memory = context.budget().openRequest(account(r), () -> {});
        head = r;
        readAt = context.clock().monotonic();
        // Without room the body is read and dropped, so that the connection can be used again.
        dropped = !limit.tryUse(this) || !memory.tryGrow(REQUEST_BYTES + headBytes(r) + r.getBodyBytes());
        body = BodyBuffer.ofReserved(memory, r.getBodyBytes());
        received = 0;
        sendIfWhole();
    }

    private static long headBytes(RelayRequest r) {
        return HeadCost.ofText(r.getUri().length())
                + r.getHeaders().stream().mapToLong(RelayFrames::cost).sum();
    }

    /** Returns whether the connection comes from the machine of a VM that is known to belong to the fleet. */
    boolean isFromVmOfFleet() {
        String host = remoteHost();
        return context.fleet().members().stream()
                .anyMatch(m -> m.reportEndpoint().host().equals(host));
    }

    /** Closes a connection whose messages would all be rejected, before any of them is received. */
    void rejectUnknownSender() {
        reject(UNKNOWN_SENDER);
    }

    /** Returns why a message is rejected; empty if it comes from a VM of the fleet and is meant for this one. */
    private Optional<String> fault(RelayRequest r) {
        if (r.getVm() == null
                || r.getRecipient() == null
                || r.getServer() == null
                || r.getRequestId() == null
                || r.getMethod() == null
                || r.getUri() == null
                || r.getHeaders() == null
                || r.getBodyBytes() < 0) {
            return Optional.of("incomplete request");
        }
        var _ = new BackendServerName(r.getServer());
        Optional<FleetMember> sender = context.fleet().member(new VmName(r.getVm()), r.getIncarnation());
        if (sender.filter(m -> m.reportEndpoint().host().equals(remoteHost())).isEmpty()) {
            return Optional.of(UNKNOWN_SENDER);
        }
        boolean forThisVm = context.localVm()
                .get()
                .filter(m -> m.vm().value().equals(r.getRecipient()) && m.incarnation() == r.getRecipientIncarnation())
                .isPresent();
        return forThisVm ? Optional.empty() : Optional.of("meant for another VM");
    }

    private String remoteHost() {
        return channel.remoteAddress() instanceof InetSocketAddress a
                ? a.getAddress().getHostAddress()
                : "";
    }

    private void handleBody(byte[] bytes) {
        received += bytes.length;
        if (bytes.length == 0 || received > head.getBodyBytes()) {
            reject("body exceeds its length");
            return;
        }
        if (!dropped) {
            body.append(Unpooled.wrappedBuffer(bytes));
        }
        sendIfWhole();
    }

    private void sendIfWhole() {
        if (received < head.getBodyBytes()) {
            return;
        }
        sending = true;
        Optional<RegisteredServer> server = dropped ? Optional.empty() : usableServer();
        Either<String, OutgoingRequest> request = outgoingRequest();
        if (server.isEmpty() || request.isLeft()) {
            decline();
            return;
        }
        if (context.reach()
                .hasFailedRecently(server.get().name(), context.clock().monotonic())) {
            replyNotRun(server.get(), NotRunReason.UNREACHABLE);
            return;
        }
        availability().recordSent(server.get(), context.clock().monotonic());
        Attempt a = new Attempt(request.get(), result -> attemptEnded(server.get(), request.get(), result));
        attempt = Optional.of(a);
        context.backends()
                .send(
                        server.get(),
                        context.steering().maxConnections(server.get().service()),
                        a);
    }

    /** Returns the server if, as far as this VM knows, it is the same one and accepts requests. */
    private Optional<RegisteredServer> usableServer() {
        if (!context.serving().getAsBoolean()) {
            return Optional.empty();
        }
        return context.steering()
                .server(new BackendServerName(head.getServer()))
                .filter(s -> s.incarnation() == head.getServerIncarnation())
                .filter(s -> !s.draining()
                        && !context.steering().evacuatedDataCentres().contains(s.dataCentre())
                        && availability().accepts(s, context.clock().monotonic()));
    }

    private ServerAvailability availability() {
        return context.steering().placement().availability();
    }

    private static Optional<ClientAccountName> account(RelayRequest r) {
        return Optional.ofNullable(r.getAccount()).map(ClientAccountName::new);
    }

    private Either<String, OutgoingRequest> outgoingRequest() {
        HttpHeaders h = new DefaultHttpHeaders();
        Optional<ClientAccountName> account = account(head);
        try {
            RelayFrames.decode(head.getHeaders(), h);
            MonotonicTime deadline = readAt.plus(Duration.ofMillis(Math.max(0, head.getRemainingMillis())));
            BackendServerName server = new BackendServerName(head.getServer());
            return Either.right(new OutgoingRequest(
                    head.getRequestId(),
                    HttpMethod.valueOf(head.getMethod()),
                    head.getUri(),
                    () -> {
                        Duration left = deadline.since(context.clock().monotonic());
                        context.servers()
                                .setRequestHeaders(h, new BackendDialect.RequestMetadata(server, account, left));
                        return h;
                    },
                    body.take().orElse(Body.EMPTY),
                    account,
                    deadline,
                    Set.of()));
        } catch (IllegalArgumentException | NullPointerException e) {
            return Either.left(String.valueOf(e.getMessage()));
        }
    }

    private void attemptEnded(RegisteredServer server, OutgoingRequest request, AttemptResult result) {
        attempt = Optional.empty();
        if (head == null) {
            return;
        }
        switch (result) {
            case AttemptResult.Answer a -> {
                availability().recordAnswered(server, context.clock().monotonic());
                RelayAnswer answer = new RelayAnswer(
                        a.status(), RelayFrames.encode(a.headers()), a.body().bytes().length);
                reply(RelayMessage.answer(answer), a.body(), Integer.toString(a.status()), a.memory()::close);
            }
            case AttemptResult.NotRun n -> replyNotRun(server, n.reason());
            case AttemptResult.Unknown u -> {
                if (u.loss() == AttemptResult.Loss.CONNECTION) {
                    context.crashes().run(server, request::fingerprint, crashed -> replyUnknown(u, crashed));
                } else {
                    replyUnknown(u, false);
                }
            }
        }
    }

    private void decline() {
        Optional<RegisteredServer> server = context.steering().server(new BackendServerName(head.getServer()));
        if (server.isPresent()) {
            replyNotRun(server.get(), NotRunReason.DECLINED);
        } else {
            String reason = name(NotRunReason.DECLINED);
            reply(RelayMessage.notRun(new RelayNotRun(reason)), Body.EMPTY, reason, () -> {});
        }
    }

    private void replyNotRun(RegisteredServer server, NotRunReason why) {
        RelayNotRun n = new RelayNotRun(name(why));
        MonotonicTime now = context.clock().monotonic();
        if (server.incarnation() == head.getServerIncarnation()) {
            n.setLeaving(availability().isLeaving(server));
            availability()
                    .pausedUntil(server, now)
                    .ifPresent(t -> n.setPauseMillis(t.since(now).toMillis()));
        }
        reply(RelayMessage.notRun(n), Body.EMPTY, n.getReason(), () -> {});
    }

    private static String name(NotRunReason reason) {
        return reason.name().toLowerCase(Locale.ROOT);
    }

    private void replyUnknown(AttemptResult.Unknown u, boolean crashed) {
        RelayUnknown m = new RelayUnknown(u.cause(), u.loss() == AttemptResult.Loss.PATH, crashed);
        reply(RelayMessage.unknown(m), Body.EMPTY, "unknown:" + u.cause(), () -> {});
    }

    private void reply(RelayMessage message, Body content, String result, Runnable onWritten) {
        if (head == null) {
            onWritten.run();
            return;
        }
        MonotonicTime now = context.clock().monotonic();
        context.observer().relayed(head.getRequestId(), head.getVm(), head.getServer(), result, now.since(readAt));
        release();
        var _ = RelayFrames.write(channel, message, content).addListener(f -> {
            onWritten.run();
            if (!f.isSuccess()) {
                close();
            }
        });
    }

    private void release() {
        head = null;
        body = null;
        sending = false;
        memory.close();
        limit.release(this);
    }

    private void reject(String reason) {
        context.observer().rejected(remoteHost(), reason);
        close();
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        if (head == null) {
            context.observer().rejected(remoteHost(), String.valueOf(cause.getMessage()));
        }
        close();
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
        if (head != null) {
            context.observer()
                    .relayed(
                            head.getRequestId(),
                            head.getVm(),
                            head.getServer(),
                            "cancelled",
                            context.clock().monotonic().since(readAt));
            release();
        }
        attempt.ifPresent(Attempt::cancel);
        attempt = Optional.empty();
        ctx.fireChannelInactive();
    }
}
