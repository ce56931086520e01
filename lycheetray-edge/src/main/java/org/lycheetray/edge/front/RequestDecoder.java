package org.lycheetray.edge.front;

import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpRequestDecoder;

/**
 * Decodes HTTP requests; rejects requests with both Content-Length and Transfer-Encoding, since an
 * intermediary may see a different end of such a request.
 */
final class RequestDecoder extends HttpRequestDecoder {
    /** Maximum length of the request line in bytes, unless the limit for headers is larger. */
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
