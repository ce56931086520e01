package org.lycheetray.edge.relay;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaders;
import java.time.Duration;
import java.util.Locale;
import java.util.Optional;
import org.lycheetray.core.placement.AvailabilityStatement;
import org.lycheetray.core.registry.RegisteredServer;
import org.lycheetray.core.time.Clock;
import org.lycheetray.core.time.MonotonicTime;
import org.lycheetray.daemon.limit.HeadCost;
import org.lycheetray.daemon.request.Body;
import org.lycheetray.daemon.request.StatusUtil;
import org.lycheetray.edge.BodyBuffer;
import org.lycheetray.edge.MemoryBudget;
import org.lycheetray.edge.backend.Attempt;
import org.lycheetray.edge.backend.AttemptResult;
import org.lycheetray.protocol.generated.RelayAnswer;
import org.lycheetray.protocol.generated.RelayMessage;
import org.lycheetray.protocol.generated.RelayNotRun;
import org.lycheetray.protocol.generated.RelayRequest;
import org.lycheetray.protocol.generated.RelayUnknown;

/** A connection to another VM on the side that asks; carries one request at a time. */
final class RelayConnection extends SimpleChannelInboundHandler<ByteBuf> {
    /** Idle time after which a connection is not used again; shorter than that after which the other VM closes it. */
    private static final Duration MAX_IDLE = Duration.ofSeconds(5);

    private final Channel channel;
    private final MemoryBudget budget;
    private final Clock clock;
    private final Runnable onIdle;
    private MonotonicTime idleSince;
    private Sending sending;
    private RelayAnswer head;
    private HttpHeaders headers;
    private MemoryBudget.AnswerMemory memory;
    private BodyBuffer body;

    /**
     * A request that another VM is asked to send.
     *
     * @param server the server to send to
     * @param head the message, without its body
     * @param attempt the attempt at the server
     * @param counted its part on this connection, which completes it
     * @param events receives what the server says apart from the result
     */
    record Sending(RegisteredServer server, RelayRequest head, Attempt attempt, Attempt counted, RelayEvents events) {}

    RelayConnection(Channel channel, MemoryBudget budget, Clock clock, Runnable onIdle) {
        this.channel = channel;
        this.budget = budget;
        this.clock = clock;
        this.onIdle = onIdle;
        this.idleSince = clock.monotonic();
    }

    boolean isReusable() {
        return channel.isActive() && clock.monotonic().since(idleSince).compareTo(MAX_IDLE) < 0;
    }

    void close() {
        var _ = channel.close();
    }

    void send(Sending next) {
        sending = next;
        next.counted().onCancel(this::cancel);
        next.attempt().markSent();
        var _ = RelayFrames.write(
                        channel,
                        RelayMessage.request(next.head()),
                        next.attempt().request().body())
                .addListener(f -> {
                    if (!f.isSuccess()) {
                        fail("write failed: " + f.cause());
                    }
                });
    }

    /** Closes the connection, at which the other VM cancels the request. */
    private void cancel() {
        sending = null;
        releaseAnswer();
        close();
    }

    @Override
    protected void channelRead0(ChannelHandlerContext ctx, ByteBuf frame) {
        RelayFrames.decode(frame).peek(this::handle).peekLeft(e -> fail("unreadable reply of the other VM: " + e));
    }

    private void handle(RelayMessage m) {
        if (sending == null || !m.isSet() || (head == null) == m.isSetBody()) {
            fail("unexpected reply of the other VM");
            return;
        }
        switch (m.getSetField()) {
            case ANSWER -> handleHead(m.getAnswer());
            case BODY -> handleBody(m.getBody().getContent());
            case NOT_RUN -> handleNotRun(m.getNotRun());
            case UNKNOWN -> handleUnknown(m.getUnknown());
            case REQUEST -> fail("unexpected reply of the other VM");
        }
    }

    private void handleHead(RelayAnswer a) {
        if (!StatusUtil.isFinal(a.getStatus())) {
            fail("status " + a.getStatus() + " from the other VM");
            return;
        }
        headers = new DefaultHttpHeaders();
        try {
            RelayFrames.decode(a.getHeaders(), headers);
        } catch (IllegalArgumentException | NullPointerException e) {
            fail("unreadable headers from the other VM");
            return;
        }
        if (a.getBodyBytes() < 0 || a.getBodyBytes() > budget.maxAnswerBytes()) {
            fail("response body of " + a.getBodyBytes() + " bytes exceeds the limit");
            return;
        }
        head = a;
        memory = budget.openAnswer(() -> fail("response body given up for the memory of smaller ones"));
        if (!memory.tryGrow(HeadCost.of(headers))) {
            fail("response headers exceed the memory left for responses");
            return;
        }
        if (!memory.reserveLength(a.getBodyBytes(), () -> channel.config().setAutoRead(true))) {
            channel.config().setAutoRead(false);
        }
        body = BodyBuffer.ofReserved(memory, a.getBodyBytes());
        completeIfWhole();
    }

    private void handleBody(byte[] bytes) {
        if (bytes.length == 0 || body.length() + (long) bytes.length > head.getBodyBytes()) {
            fail("response body from the other VM exceeds its length");
            return;
        }
        body.append(Unpooled.wrappedBuffer(bytes));
        completeIfWhole();
    }

    private void completeIfWhole() {
        if (body.length() < head.getBodyBytes()) {
            return;
        }
        memory.complete();
        AttemptResult.Answer answer =
                new AttemptResult.Answer(head.getStatus(), headers, body.take().orElse(Body.EMPTY), memory);
        memory = null;
        sending.events().answered(answer.status(), headers);
        end(answer);
    }

    private void handleNotRun(RelayNotRun n) {
        if (n.isLeaving()) {
            sending.events().unavailable(new AvailabilityStatement.Leaving());
        } else if (n.isSetPauseMillis() && n.getPauseMillis() > 0) {
            sending.events().unavailable(new AvailabilityStatement.Paused(Duration.ofMillis(n.getPauseMillis())));
        }
        end(new AttemptResult.NotRun(reason(n.getReason())));
    }

    private static AttemptResult.NotRunReason reason(String name) {
        try {
            return AttemptResult.NotRunReason.valueOf(String.valueOf(name).toUpperCase(Locale.ROOT));
        } catch (IllegalArgumentException e) {
            // A reason of a later version.
            return AttemptResult.NotRunReason.DECLINED;
        }
    }

    private void handleUnknown(RelayUnknown u) {
        if (u.isCrashed()) {
            sending.events().crashed();
        }
        // Not CONNECTION: the other VM has checked whether the server crashed.
        AttemptResult.Loss loss = u.isPathLost() ? AttemptResult.Loss.PATH : AttemptResult.Loss.ANSWER;
        end(new AttemptResult.Unknown(String.valueOf(u.getCause()), loss));
    }

    private void end(AttemptResult result) {
        Attempt a = sending.counted();
        sending = null;
        head = null;
        body = null;
        idleSince = clock.monotonic();
        if (channel.isActive()) {
            onIdle.run();
        }
        a.complete(result);
    }

    private void releaseAnswer() {
        Optional.ofNullable(memory).ifPresent(MemoryBudget.AnswerMemory::close);
        memory = null;
    }

    /** Ends the use of the connection; the request may have run. */
    private void fail(String cause) {
        releaseAnswer();
        Sending s = sending;
        sending = null;
        close();
        if (s != null) {
            s.counted().complete(new AttemptResult.Unknown(cause, AttemptResult.Loss.PATH));
        }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        fail("connection to the other VM: " + cause.getMessage());
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
        fail("connection to the other VM closed");
        ctx.fireChannelInactive();
    }
}
