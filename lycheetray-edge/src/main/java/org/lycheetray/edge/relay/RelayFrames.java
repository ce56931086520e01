package org.lycheetray.edge.relay;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufAllocator;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelPipeline;
import io.netty.handler.codec.LengthFieldBasedFrameDecoder;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.flow.FlowControlHandler;
import io.netty.handler.stream.ChunkedInput;
import io.netty.handler.stream.ChunkedWriteHandler;
import io.vavr.control.Either;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.lycheetray.daemon.limit.HeadCost;
import org.lycheetray.daemon.request.Body;
import org.lycheetray.protocol.MessageCodec;
import org.lycheetray.protocol.ProtocolError;
import org.lycheetray.protocol.generated.BodyPart;
import org.lycheetray.protocol.generated.HeaderField;
import org.lycheetray.protocol.generated.RelayMessage;

/**
 * Frames of the connections for relayed requests: four bytes of length, then a {@link RelayMessage}.
 *
 * <p>A body follows the message that states its length, in parts, which are made only as fast as the peer reads.
 */
final class RelayFrames {
    private static final int LENGTH_BYTES = 4;
    private static final int PART_BYTES = 64 << 10;

    private RelayFrames() {}

    /** Adds the handlers that split incoming bytes into frames and write bodies. */
    static void addHandlers(ChannelPipeline pipeline) {
        pipeline.addLast(
                new LengthFieldBasedFrameDecoder(MessageCodec.MAX_FRAME_BYTES, 0, LENGTH_BYTES, 0, LENGTH_BYTES),
                new FlowControlHandler(),
                new ChunkedWriteHandler());
    }

    static Either<ProtocolError, RelayMessage> decode(ByteBuf frame) {
        byte[] bytes = new byte[frame.readableBytes()];
        frame.readBytes(bytes);
        return MessageCodec.decodeStandalone(bytes, new RelayMessage());
    }

    private static ByteBuf encode(RelayMessage message) {
        byte[] bytes = MessageCodec.encode(message);
        return Unpooled.wrappedBuffer(
                Unpooled.buffer(LENGTH_BYTES).writeInt(bytes.length), Unpooled.wrappedBuffer(bytes));
    }

    /** Writes a message and the body that follows it; the result is completed when the last byte is written. */
    static ChannelFuture write(Channel channel, RelayMessage message, Body body) {
        ChannelFuture written = channel.write(encode(message));
        if (body.bytes().length > 0) {
            written = channel.write(new BodyInput(body.bytes()));
        }
        channel.flush();
        return written;
    }

    /** Returns the memory that a header takes until it has been sent on, in bytes. */
    static long cost(HeaderField f) {
        return f.getName() == null || f.getValue() == null ? 0 : HeadCost.ofLine(f.getName(), f.getValue());
    }

    static List<HeaderField> encode(HttpHeaders headers) {
        List<HeaderField> fields = new ArrayList<>(headers.size());
        for (Map.Entry<String, String> e : headers) {
            fields.add(new HeaderField(e.getKey(), e.getValue()));
        }
        return fields;
    }

    /**
     * Adds decoded headers to others.
     *
     * @throws IllegalArgumentException if a name or value is not valid
     */
    static void decode(List<HeaderField> fields, HttpHeaders into) {
        fields.forEach(f -> into.add(f.getName(), f.getValue()));
    }

    /** A body as frames. */
    private static final class BodyInput implements ChunkedInput<ByteBuf> {
        private final byte[] bytes;
        private int at;

        BodyInput(byte[] bytes) {
            this.bytes = bytes;
        }

        @Override
        public boolean isEndOfInput() {
            return at == bytes.length;
        }

        @Override
        public void close() {}

        @Override
        @Deprecated
        public ByteBuf readChunk(ChannelHandlerContext ctx) {
            return nextPart();
        }

        @Override
        public ByteBuf readChunk(ByteBufAllocator allocator) {
            return nextPart();
        }

        private ByteBuf nextPart() {
            int n = Math.min(PART_BYTES, bytes.length - at);
            BodyPart part = new BodyPart(ByteBuffer.wrap(bytes, at, n));
            at += n;
            return encode(RelayMessage.body(part));
        }

        @Override
        public long length() {
            return bytes.length;
        }

        @Override
        public long progress() {
            return at;
        }
    }
}
