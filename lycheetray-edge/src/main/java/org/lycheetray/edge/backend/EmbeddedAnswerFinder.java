package org.lycheetray.edge.backend;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultHttpHeadersFactory;
import io.netty.handler.codec.http.HttpHeaders;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Optional;
import java.util.regex.Pattern;
import org.lycheetray.edge.dialect.BackendDialect;

/**
 * Finds the start of an answer inside the body of another.
 *
 * <p>An answer that is cut short while its connection stays open is filled up to its stated length by the bytes of the
 * next answer. Bodies that merely contain text of HTTP responses do not name a request of the same connection.
 *
 * @param dialect reads the identifiers of answers
 */
record EmbeddedAnswerFinder(BackendDialect dialect) {
    private static final byte[] VERSION_START = "HTTP/1.".getBytes(StandardCharsets.US_ASCII);
    private static final ByteBuf VERSION = Unpooled.unreleasableBuffer(Unpooled.wrappedBuffer(VERSION_START));
    private static final int STATUS_LINE_START_BYTES = 12;
    private static final Pattern STATUS_LINE = Pattern.compile("HTTP/1\\.[01] \\d{3}[^\\r\\n]*\\r\\n");
    private static final Pattern LINE_END = Pattern.compile("\\r\\n");
    private static final String HEAD_END = "\r\n\r\n";

    /** Largest part of a head that is searched for the identifier, in bytes. */
    private static final int MAX_HEAD_BYTES = 8 * 1024;

    /**
     * Returns whether an answer to one of the given requests begins inside a body.
     *
     * @param body the body
     * @param surplus bytes received after the body; they are not consumed
     * @param requestIds identifiers of the requests
     * @return true if such an answer begins in the body, even if it ends in the surplus
     */
    boolean containsAnswer(byte[] body, ByteBuf surplus, List<String> requestIds) {
        int surplusBytes = Math.min(surplus.readableBytes(), MAX_HEAD_BYTES);
        ByteBuf bytes = Unpooled.wrappedBuffer(
                Unpooled.wrappedBuffer(body), surplus.slice(surplus.readerIndex(), surplusBytes));
        int i = 0;
        while (i < body.length) {
            String head = body[i] == VERSION_START[0] && startsWithVersion(bytes, i) ? headAt(bytes, i) : "";
            if (identifier(head).filter(requestIds::contains).isPresent()) {
                return true;
            }
            // Heads that begin in the skipped half were searched as lines of this one.
            i += Math.max(1, head.length() / 2);
        }
        return false;
    }

    private static boolean startsWithVersion(ByteBuf bytes, int from) {
        return bytes.readableBytes() - from >= VERSION_START.length
                && ByteBufUtil.equals(bytes, from, VERSION, 0, VERSION_START.length);
    }

    /** Returns the head that begins at an index, or the received part of it; empty if there is no status line. */
    private static String headAt(ByteBuf bytes, int from) {
        int length = Math.min(bytes.readableBytes() - from, MAX_HEAD_BYTES);
        String start = bytes.toString(from, Math.min(length, STATUS_LINE_START_BYTES), StandardCharsets.ISO_8859_1);
        if (!ResponseDecoder.STATUS_LINE_START.matcher(start).lookingAt()) {
            return "";
        }
        String text = bytes.toString(from, length, StandardCharsets.ISO_8859_1);
        if (!STATUS_LINE.matcher(text).lookingAt()) {
            return "";
        }
        int end = text.indexOf(HEAD_END);
        return end < 0 ? text : text.substring(0, end);
    }

    private Optional<String> identifier(String head) {
        if (head.isEmpty()) {
            return Optional.empty();
        }
        HttpHeaders headers =
                DefaultHttpHeadersFactory.headersFactory().withValidation(false).newHeaders();
        LINE_END.splitAsStream(head).skip(1).forEach(line -> addHeader(headers, line));
        return dialect.answeredRequestId(headers);
    }

    private static void addHeader(HttpHeaders headers, String line) {
        int colon = line.indexOf(':');
        if (colon > 0) {
            headers.add(line.substring(0, colon), line.substring(colon + 1).strip());
        }
    }
}
