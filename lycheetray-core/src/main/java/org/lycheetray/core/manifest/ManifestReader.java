package org.lycheetray.core.manifest;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.StreamReadConstraints;
import io.vavr.control.Either;
import java.io.IOException;
import java.io.InputStream;
import java.util.List;
import org.lycheetray.core.manifest.internal.ManifestErrorCollector;
import org.lycheetray.core.manifest.internal.ManifestParser;
import org.lycheetray.core.model.Manifest;

/**
 * Reads and validates the JSON of a manifest.
 *
 * <p>All errors are returned together, each with its JSON path: unknown, missing and duplicate fields, wrong types,
 * numbers out of range, duplicate names and references to undeclared names. Reading stops at the first JSON syntax
 * error, which is returned after the errors found before it. Invalid input never causes an exception.
 */
public final class ManifestReader {
    /** Maximum size of a manifest, in bytes. */
    public static final int MAX_BYTES = 64 << 20;

    private static final int MAX_NESTING = 12;
    private static final int MAX_STRING_CHARACTERS = 4_096;
    private static final int MAX_KEY_CHARACTERS = 256;
    private static final int MAX_NUMBER_CHARACTERS = 40;
    private static final JsonFactory JSON = JsonFactory.builder()
            .streamReadConstraints(StreamReadConstraints.builder()
                    .maxNestingDepth(MAX_NESTING)
                    .maxStringLength(MAX_STRING_CHARACTERS)
                    .maxNameLength(MAX_KEY_CHARACTERS)
                    .maxNumberLength(MAX_NUMBER_CHARACTERS)
                    .build())
            .build();

    private ManifestReader() {}

    /**
     * Reads a manifest.
     *
     * @param json the text in UTF-8
     * @return the manifest, or the errors in the order in which they were found
     */
    public static Either<List<ManifestError>, Manifest> read(byte[] json) {
        if (json.length > MAX_BYTES) {
            return tooLarge();
        }
        ManifestErrorCollector collector = new ManifestErrorCollector();
        Manifest manifest = parse(json, collector);
        List<ManifestError> errors = collector.errors();
        return errors.isEmpty() ? Either.right(manifest) : Either.left(errors);
    }

    /**
     * Reads a manifest from a stream, at most {@link #MAX_BYTES} of it.
     *
     * @param in the text in UTF-8; is not closed
     * @return the manifest, or the errors in the order in which they were found
     * @throws IOException if reading from the stream fails
     */
    public static Either<List<ManifestError>, Manifest> read(InputStream in) throws IOException {
        return read(in.readNBytes(MAX_BYTES + 1));
    }

    private static Manifest parse(byte[] json, ManifestErrorCollector collector) {
        try (JsonParser parser = JSON.createParser(json)) {
            return new ManifestParser(parser, collector).read();
        } catch (IOException e) {
            collector.report("$", "cannot be read as UTF-8 JSON: " + e.getMessage());
            return null;
        }
    }

    private static Either<List<ManifestError>, Manifest> tooLarge() {
        String message = "manifest exceeds the limit of " + MAX_BYTES + " bytes (64 MB)";
        return Either.left(List.of(new ManifestError("$", message)));
    }
}
