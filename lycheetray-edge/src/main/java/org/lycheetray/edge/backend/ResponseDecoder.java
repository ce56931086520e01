package org.lycheetray.edge.backend;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.CorruptedFrameException;
import io.netty.handler.codec.DecoderResult;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseDecoder;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.regex.Pattern;
import org.lycheetray.daemon.limit.HeadDecoderConfig;
import org.lycheetray.daemon.limit.HeadMemory;

/**
 * Decodes HTTP responses strictly, so that the rest of one response and the start of another are not taken for one.
 *
 * <p>A response that begins with other bytes than its status line, that contains a second status line in its head, or
 * whose end is ambiguous is reported as a decoder failure. Bytes that arrive while no response is expected are reported
 * as a {@link CorruptedFrameException}. A response to HEAD has no body, whatever its Content-Length.
 */
final class ResponseDecoder extends HttpResponseDecoder {
    private static final char FIRST_CHARACTER = 'H';
    private static final Pattern VERSION = Pattern.compile("HTTP/1\\.[01]");

    /** Status codes except 101, since no request asks for another protocol. */
    private static final Pattern STATUS_CODE = Pattern.compile("(?!101)[1-5]\\d\\d");

    /** Start of a status line. */
    static final Pattern STATUS_LINE_START = Pattern.compile("HTTP/1\\.[01] \\d{3}");

    /** Maximum size of the status line in bytes. */
    private static final int MAX_LINE_BYTES = 4 << 10;

    /** Maximum size of the headers, and of the trailers, in bytes. */
    private static final int MAX_HEADER_BYTES = 8 << 10;

    private Optional<HttpMethod> requestMethod = Optional.empty();
    private boolean atStart = true;

    /**
     * Creates a decoder that expects no response.
     *
     * @param memory reserves the memory of the header lines
     */
    ResponseDecoder(HeadMemory memory) {
        super(HeadDecoderConfig.of(MAX_LINE_BYTES, MAX_HEADER_BYTES, memory));
    }

    /**
     * Expects responses to a request.
     *
     * @param method method of the request
     */
    void expectResponse(HttpMethod method) {
        requestMethod = Optional.of(method);
    }

    /** Expects no further bytes until the next request. */
    void expectNothing() {
        requestMethod = Optional.empty();
    }

    /**
     * Returns the bytes that were received and not decoded.
     *
     * @return the bytes, which stay owned by the decoder
     */
    ByteBuf undecodedBytes() {
        return internalBuffer();
    }

    /**
     * Returns whether a part of a response was received that is not complete.
     *
     * @return false between two responses
     */
    boolean isInsideResponse() {
        return !atStart || internalBuffer().isReadable();
    }

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object msg) throws Exception {
        if (requestMethod.isEmpty()) {
            ReferenceCountUtil.release(msg);
            ctx.fireExceptionCaught(new CorruptedFrameException("bytes without a request"));
        } else {
            super.channelRead(ctx, msg);
        }
    }

    @Override
    protected void decode(ChannelHandlerContext ctx, ByteBuf in, List<Object> out) throws Exception {
        if (atStart && in.isReadable()) {
            if (in.getByte(in.readerIndex()) != FIRST_CHARACTER) {
                in.skipBytes(in.readableBytes());
                throw new CorruptedFrameException("response does not begin with a status line");
            }
            atStart = false;
        }
        int decoded = out.size();
        super.decode(ctx, in, out);
        for (Object o : out.subList(decoded, out.size())) {
            if (o instanceof HttpResponse r && r.decoderResult().isSuccess()) {
                rejectAmbiguousHeaders(r);
            }
            atStart = o instanceof LastHttpContent;
        }
    }

    @Override
    protected void decodeLast(ChannelHandlerContext ctx, ByteBuf in, List<Object> out) throws Exception {
        super.decodeLast(ctx, in, out);
        atStart = true;
    }

    @Override
    protected HttpMessage createMessage(String[] initialLine) {
        if (!VERSION.matcher(initialLine[0]).matches()
                || !STATUS_CODE.matcher(initialLine[1]).matches()
                || STATUS_LINE_START.matcher(initialLine[2]).find()) {
            throw new IllegalArgumentException("malformed status line");
        }
        return super.createMessage(initialLine);
    }

    private static void rejectAmbiguousHeaders(HttpResponse r) {
        HttpHeaders h = r.headers();
        List<String> codings = h.getAll(HttpHeaderNames.TRANSFER_ENCODING);
        if (codings.size() > 1
                || codings.stream().anyMatch(c -> !HttpHeaderValues.CHUNKED.contentEqualsIgnoreCase(c))) {
            r.setDecoderResult(DecoderResult.failure(new IllegalArgumentException("unsupported transfer coding")));
        }
        for (Map.Entry<String, String> e : h) {
            if (STATUS_LINE_START.matcher(e.getValue()).find()) {
                r.setDecoderResult(
                        DecoderResult.failure(new IllegalArgumentException("status line in header " + e.getKey())));
            }
        }
    }

    @Override
    protected void handleTransferEncodingChunkedWithContentLength(HttpMessage message) {
        throw new IllegalArgumentException("both Content-Length and Transfer-Encoding");
    }

    @Override
    protected boolean isContentAlwaysEmpty(HttpMessage msg) {
        return requestMethod.filter(HttpMethod.HEAD::equals).isPresent() || super.isContentAlwaysEmpty(msg);
    }
}
