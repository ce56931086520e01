package org.lycheetray.edge.front;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpRequestDecoder;
import java.util.List;
import java.util.function.Supplier;
import org.lycheetray.daemon.limit.HeadDecoderConfig;
import org.lycheetray.daemon.limit.HeadMemory;

/**
 * Decodes HTTP requests; rejects requests with both Content-Length and Transfer-Encoding, since an
 * intermediary may see a different end of such a request.
 *
 * <p>Decoding can be suspended, so that many requests that arrive together are not all held as requests at a time.
 */
final class RequestDecoder extends HttpRequestDecoder {
    /** Minimum of the request line's limit in bytes; the line is counted separately from the headers. */
    private static final int MIN_LINE_LIMIT_BYTES = 8 * 1024;

    private final Supplier<Gate> gate;

    /** What is done with bytes that have arrived. */
    enum Gate {
        /** They are decoded. */
        OPEN,
        /** They are kept and not decoded. */
        SUSPENDED,
        /** They are dropped, because the connection takes no further request. */
        ENDED
    }

    RequestDecoder(int maxHeaderBytes, HeadMemory memory, Supplier<Gate> gate) {
        super(HeadDecoderConfig.of(Math.max(MIN_LINE_LIMIT_BYTES, maxHeaderBytes), maxHeaderBytes, memory));
        this.gate = gate;
    }

    @Override
    protected void decode(ChannelHandlerContext ctx, ByteBuf in, List<Object> out) throws Exception {
        switch (gate.get()) {
            case OPEN -> super.decode(ctx, in, out);
            case SUSPENDED -> {}
            case ENDED -> in.skipBytes(in.readableBytes());
        }
    }

    /**
     * Returns the bytes that have arrived and are not decoded.
     *
     * @return the bytes, which stay owned by the decoder
     */
    ByteBuf undecodedBytes() {
        return internalBuffer();
    }

    @Override
    protected void handleTransferEncodingChunkedWithContentLength(HttpMessage message) {
        throw new IllegalArgumentException("both Content-Length and Transfer-Encoding");
    }
}
