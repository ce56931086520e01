package org.lycheetray.core.manifest;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.core.util.DefaultPrettyPrinter;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import org.lycheetray.core.manifest.internal.ManifestSerializer;
import org.lycheetray.core.model.Manifest;

/** Writes a manifest as JSON that {@link ManifestReader} reads back as an equal value. */
public final class ManifestWriter {
    private static final JsonFactory JSON = new JsonFactory();

    private ManifestWriter() {}

    /**
     * Writes canonical JSON: every field, in a fixed order, without white space; lists keep their order.
     *
     * @param manifest what to write
     * @return UTF-8 text; equal manifests give equal bytes
     */
    public static byte[] write(Manifest manifest) {
        return write(manifest, false);
    }

    /**
     * Writes the same JSON with line breaks and indentation.
     *
     * @param manifest what to write
     * @return UTF-8 text
     */
    public static byte[] writePretty(Manifest manifest) {
        return write(manifest, true);
    }

    private static byte[] write(Manifest manifest, boolean pretty) {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        try (JsonGenerator g = JSON.createGenerator(out)) {
            if (pretty) {
                g.setPrettyPrinter(new DefaultPrettyPrinter());
            }
            new ManifestSerializer(g, manifest).write();
        } catch (IOException e) {
            throw new UncheckedIOException("writing to memory failed", e);
        }
        return out.toByteArray();
    }
}
