package org.lycheetray.edge;

import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.handler.codec.http.DefaultLastHttpContent;
import io.netty.handler.codec.http.HttpChunkedInput;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.stream.ChunkedStream;
import java.io.ByteArrayInputStream;

/** Writes messages whose bodies are in memory. */
public final class BodyWriter {
    /** Size of the pieces of a body; network buffers outside the heap hold few of them for each connection. */
    private static final int PIECE_BYTES = 64 << 10;

    private BodyWriter() {}

    /**
     * Writes a message without flushing it. A large body is copied to network buffers only as fast as the peer reads.
     *
     * @param channel connection with an HTTP encoder and a {@link io.netty.handler.stream.ChunkedWriteHandler}
     * @param head request or response, with the length of the body
     * @param body the body
     * @return completed when the last byte is written, or when writing has failed and the connection is closed
     */
    public static ChannelFuture write(Channel channel, HttpMessage head, byte[] body) {
        var _ = closeOnFailure(channel.write(head));
        Object content = body.length <= PIECE_BYTES
                ? new DefaultLastHttpContent(Unpooled.wrappedBuffer(body))
                : new HttpChunkedInput(new ChunkedStream(new ByteArrayInputStream(body), PIECE_BYTES));
        return closeOnFailure(channel.write(content));
    }

    /** Closes the connection of a message that is not whole, so that no later bytes are taken for its rest. */
    private static ChannelFuture closeOnFailure(ChannelFuture written) {
        return written.addListener(f -> {
            if (!f.isSuccess()) {
                var _ = written.channel().close();
            }
        });
    }
}
