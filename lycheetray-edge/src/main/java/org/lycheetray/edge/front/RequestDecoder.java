package org.lycheetray.edge.front;

import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpRequestDecoder;

/** Decodes requests; refuses those whose end two headers give differently, since others may see another end. */
final class RequestDecoder extends HttpRequestDecoder {
    /** Longest request line in bytes, counted apart from the headers. */
    private static final int MAX_LINE_BYTES = 8 * 1024;

    RequestDecoder(int maxHeaderBytes) {
        super(new HttpDecoderConfig()
                .setMaxInitialLineLength(Math.max(MAX_LINE_BYTES, maxHeaderBytes))
                .setMaxHeaderSize(maxHeaderBytes)
                .setValidateHeaders(true));
    }

    @Override
    protected void handleTransferEncodingChunkedWithContentLength(HttpMessage message) {
        throw new IllegalArgumentException("both Content-Length and Transfer-Encoding");
    }
}
