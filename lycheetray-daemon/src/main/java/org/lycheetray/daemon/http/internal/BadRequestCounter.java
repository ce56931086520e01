package org.lycheetray.daemon.http.internal;

import com.codahale.metrics.Counter;
import io.netty.channel.ChannelHandler.Sharable;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.http.HttpObject;
import java.net.InetSocketAddress;
import java.time.Duration;
import org.lycheetray.core.time.Clock;
import org.lycheetray.daemon.log.LimitedLog;
import org.lycheetray.daemon.log.LogEvent;

/** Counts and logs messages that are not HTTP; the library answers them with a 4xx status and closes. */
@Sharable
public final class BadRequestCounter extends ChannelInboundHandlerAdapter {
    private static final Duration LOG_PERIOD = Duration.ofMinutes(1);

    private final Counter counter;
    private final LimitedLog log;

    /**
     * Creates a counter.
     *
     * @param counter counts malformed messages
     * @param clock clock that limits the log
     */
    public BadRequestCounter(Counter counter, Clock clock) {
        this.counter = counter;
        this.log = new LimitedLog(clock, LOG_PERIOD);
    }

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object message) throws Exception {
        if (message instanceof HttpObject o && o.decoderResult().isFailure()) {
            counter.inc();
            String host = host(ctx);
            log.once(
                    host,
                    () -> LogEvent.of("malformed-http")
                            .with("step", "decode")
                            .with("peer", host)
                            .with("cause", o.decoderResult().cause())
                            .warn());
        }
        super.channelRead(ctx, message);
    }

    private static String host(ChannelHandlerContext ctx) {
        return ctx.channel().remoteAddress() instanceof InetSocketAddress a ? a.getHostString() : "unknown";
    }
}
