package org.lycheetray.daemon.http.internal;

import com.codahale.metrics.Counter;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandler.Sharable;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.DecoderResult;
import io.netty.handler.codec.http.HttpObject;
import java.net.InetSocketAddress;
import java.time.Duration;
import org.lycheetray.core.time.Clock;
import org.lycheetray.daemon.limit.HeadMemoryException;
import org.lycheetray.daemon.log.LogEvent;
import org.lycheetray.daemon.log.RateLimitedLog;

/**
 * Counts and logs messages that cannot be decoded as HTTP.
 *
 * <p>Reactor Netty answers them with a 4xx status and closes the connection.
 */
@Sharable
public final class MalformedRequestCounter extends ChannelInboundHandlerAdapter {
    private static final Duration LOG_INTERVAL = Duration.ofMinutes(1);

    private final Counter counter;
    private final RateLimitedLog log;

    /**
     * Creates a channel handler that may be shared by all connections.
     *
     * @param counter counter of malformed messages
     * @param clock clock for the log rate limit
     */
    public MalformedRequestCounter(Counter counter, Clock clock) {
        this.counter = counter;
        this.log = new RateLimitedLog(clock, LOG_INTERVAL);
    }

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object message) throws Exception {
        if (message instanceof HttpObject o && isMalformed(o.decoderResult())) {
            counter.inc();
            String host = host(ctx.channel());
            log.logOncePerInterval(
                    host,
                    () -> LogEvent.of("malformed-http")
                            .with("step", "decode")
                            .with("peer", host)
                            .with("cause", o.decoderResult().cause())
                            .warn());
        }
        super.channelRead(ctx, message);
    }

    /** Returns whether a message can't be decoded for another reason than its size in memory. */
    private static boolean isMalformed(DecoderResult r) {
        return r.isFailure() && !(r.cause() instanceof HeadMemoryException);
    }

    /** Returns the host of the caller, by which refusals are logged. */
    static String host(Channel channel) {
        return channel.remoteAddress() instanceof InetSocketAddress a ? a.getHostString() : "unknown";
    }
}
