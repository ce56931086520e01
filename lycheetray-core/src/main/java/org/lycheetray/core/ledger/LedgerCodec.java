package org.lycheetray.core.ledger;

import com.fasterxml.jackson.databind.ObjectWriter;
import com.fasterxml.jackson.databind.SequenceWriter;
import io.vavr.control.Either;
import java.io.BufferedReader;
import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.zip.GZIPInputStream;
import java.util.zip.GZIPOutputStream;
import org.lycheetray.core.ledger.internal.JsonLedger;
import org.lycheetray.core.model.Incarnation;
import org.lycheetray.core.model.VmName;

/** Encodes segments as gzip-compressed JSON lines: the head, then the request lines, then the counts. */
public final class LedgerCodec {
    private LedgerCodec() {}

    /**
     * Encodes a segment.
     *
     * @param s the segment
     * @return the encoded segment
     */
    public static byte[] encode(LedgerSegment s) {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        ObjectWriter writer = JsonLedger.writer().withRootValueSeparator("\n");
        try (SequenceWriter out = writer.writeValues(new GZIPOutputStream(bytes))) {
            out.write(JsonLedger.Head.of(s));
            for (LedgerLine l : s.lines()) {
                out.write(JsonLedger.Line.of(l));
            }
            for (LedgerCount c : s.counts()) {
                out.write(JsonLedger.Count.of(c));
            }
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        return bytes.toByteArray();
    }

    /**
     * Decodes a segment.
     *
     * @param bytes the encoded segment
     * @return the segment, or an error message if the bytes are not a valid segment
     */
    public static Either<String, LedgerSegment> decode(byte[] bytes) {
        try (BufferedReader in = new BufferedReader(
                new InputStreamReader(new GZIPInputStream(new ByteArrayInputStream(bytes)), StandardCharsets.UTF_8))) {
            return read(in);
        } catch (IOException | RuntimeException e) {
            return Either.left("not a ledger segment: " + e.getMessage());
        }
    }

    private static Either<String, LedgerSegment> read(BufferedReader in) throws IOException {
        JsonLedger.Head head = JsonLedger.reader(JsonLedger.Head.class).readValue(next(in));
        if (head.format() != JsonLedger.Head.FORMAT) {
            return Either.left("unknown ledger segment format %d".formatted(head.format()));
        }
        List<LedgerLine> lines = new ArrayList<>();
        for (int i = 0; i < head.lines(); i++) {
            JsonLedger.Line line = JsonLedger.reader(JsonLedger.Line.class).readValue(next(in));
            lines.add(line.toLine());
        }
        List<LedgerCount> counts = new ArrayList<>();
        for (int i = 0; i < head.counts(); i++) {
            JsonLedger.Count count = JsonLedger.reader(JsonLedger.Count.class).readValue(next(in));
            counts.add(count.toCount());
        }
        return Either.right(new LedgerSegment(
                new Incarnation(new VmName(head.vm()), head.incarnation()),
                head.segment(),
                Instant.parse(head.sealedAt()),
                head.before(),
                head.unrecorded(),
                head.last(),
                lines,
                counts));
    }

    private static String next(BufferedReader in) throws IOException {
        String text = in.readLine();
        if (text == null) {
            throw new IOException("unexpected end of the segment");
        }
        return text;
    }
}
