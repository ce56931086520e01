package org.lycheetray.edge;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOutboundHandlerAdapter;
import io.netty.channel.ChannelPromise;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.stream.ChunkedWriteHandler;
import io.netty.util.ReferenceCountUtil;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class BodyWriterTest {
    private static final int LARGE_BYTES = 10 << 20;

    /** Fails all writes but that of the head, as a connection does if there is no memory for network buffers. */
    private static final class FailingBody extends ChannelOutboundHandlerAdapter {
        @Override
        public void write(ChannelHandlerContext ctx, Object msg, ChannelPromise promise) {
            if (msg instanceof HttpResponse) {
                var _ = ctx.write(msg, promise);
            } else {
                ReferenceCountUtil.release(msg);
                promise.setFailure(new IllegalStateException("no memory"));
            }
        }
    }

    private static HttpResponse head() {
        return new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.OK);
    }

    /** Guards against the next reply of a connection being read as the rest of a body that was not written. */
    @ParameterizedTest
    @ValueSource(ints = {1, LARGE_BYTES})
    void connectionIsClosedAfterABodyThatCouldNotBeWritten(int length) {
        EmbeddedChannel channel = new EmbeddedChannel(new FailingBody(), new ChunkedWriteHandler());

        var _ = BodyWriter.write(channel, head(), new byte[length]);
        channel.flush();
        channel.runPendingTasks();

        assertThat(channel.isOpen()).isFalse();
    }

    /** Guards against a caller that does not read and holds its whole answer in network buffers. */
    @Test
    void largeBodyIsNotHandedToTheNetworkAtOnce() {
        EmbeddedChannel channel = new EmbeddedChannel(new ChunkedWriteHandler());
        channel.unsafe().outboundBuffer().setUserDefinedWritability(1, false);

        var _ = BodyWriter.write(channel, head(), new byte[LARGE_BYTES]);
        channel.flush();

        assertThat(channel.outboundMessages()).hasSizeLessThanOrEqualTo(1);
        channel.unsafe().outboundBuffer().setUserDefinedWritability(1, true);
        channel.runPendingTasks();
        assertThat(channel.outboundMessages()).hasSizeGreaterThan(LARGE_BYTES / (64 << 10));
        channel.releaseOutbound();
    }
}
