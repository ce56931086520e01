package org.lycheetray.edge.front;

import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpRequestDecoder;

/**
 * Decodes HTTP requests; rejects requests with both Content-Length and Transfer-Encoding, since an
 * intermediary may see a different end of such a request.
 */
final class RequestDecoder extends HttpRequestDecoder {
    /** Minimum of the request line's limit in bytes; the line is counted separately from the headers. */
    private static final int MIN_LINE_LIMIT_BYTES = 8 * 1024;

    RequestDecoder(int maxHeaderBytes) {
        super(new HttpDecoderConfig()
                .setMaxInitialLineLength(Math.max(MIN_LINE_LIMIT_BYTES, maxHeaderBytes))
                .setMaxHeaderSize(maxHeaderBytes)
                .setValidateHeaders(true));
    }

    @Override
    protected void handleTransferEncodingChunkedWithContentLength(HttpMessage message) {
        throw new IllegalArgumentException("both Content-Length and Transfer-Encoding");
    }
}
