package org.lycheetray.daemon.limit;

import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpHeadersFactory;
import java.util.function.Supplier;

/** Configures HTTP decoders so that the lines of a head are counted as they arrive. */
public final class HeadDecoderConfig {
    private HeadDecoderConfig() {}

    /**
     * Creates the configuration of a decoder.
     *
     * @param maxLineBytes maximum size of the first line
     * @param maxHeaderBytes maximum size of the header lines together, and of the trailers
     * @param memory reserves the memory of the header lines
     * @return a configuration for one connection
     */
    public static HttpDecoderConfig of(int maxLineBytes, int maxHeaderBytes, HeadMemory memory) {
        return new HttpDecoderConfig()
                .setMaxInitialLineLength(maxLineBytes)
                .setMaxHeaderSize(maxHeaderBytes)
                .setHeadersFactory(new Factory(() -> {
                    memory.beginHead();
                    return new CountedHeaders(memory);
                }))
                .setTrailersFactory(new Factory(IgnoredTrailers::new));
    }

    private record Factory(Supplier<HttpHeaders> headers) implements HttpHeadersFactory {
        @Override
        public HttpHeaders newHeaders() {
            return headers.get();
        }

        @Override
        public HttpHeaders newEmptyHeaders() {
            return headers.get();
        }
    }
}
