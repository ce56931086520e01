package org.lycheetray.core.manifest;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.core.util.DefaultPrettyPrinter;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import org.lycheetray.core.manifest.internal.ManifestSerializer;
import org.lycheetray.core.model.Manifest;

/** Writes manifests as JSON, which {@link ManifestReader} reads back as equal values. */
public final class ManifestWriter {
    private static final JsonFactory JSON = new JsonFactory();

    private ManifestWriter() {}

    /**
     * Writes a manifest as canonical JSON: all fields in a fixed order, without white space. Lists keep their order.
     *
     * @param manifest the manifest
     * @return the JSON text in UTF-8; equal manifests give equal bytes
     */
    public static byte[] write(Manifest manifest) {
        return write(manifest, false);
    }

    /**
     * Writes a manifest as JSON like {@link #write(Manifest)}, but with line breaks and indentation.
     *
     * @param manifest the manifest
     * @return the JSON text in UTF-8
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
            throw new UncheckedIOException("manifest cannot be written to a byte array", e);
        }
        return out.toByteArray();
    }
}
