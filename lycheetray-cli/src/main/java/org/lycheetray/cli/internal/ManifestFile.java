package org.lycheetray.cli.internal;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.vavr.control.Either;
import java.io.IOException;
import java.io.InputStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.apache.commons.cli.CommandLine;
import org.lycheetray.core.manifest.ManifestError;
import org.lycheetray.core.manifest.ManifestReader;
import org.lycheetray.core.model.Manifest;

/** Reads a manifest from a file or standard input and prints its validation errors. */
final class ManifestFile {
    private static final String STANDARD_INPUT = "-";

    private ManifestFile() {}

    static Either<List<ManifestError>, Manifest> read(CommandContext context, CommandLine line)
            throws CommandException {
        if (line.getArgList().size() != 1) {
            throw CommandException.usage("expected one FILE, or - for standard input");
        }
        return read(context, line.getArgList().getFirst());
    }

    static Either<List<ManifestError>, Manifest> read(CommandContext context, String file) throws CommandException {
        try (InputStream in = open(context, file)) {
            return ManifestReader.read(in);
        } catch (IOException e) {
            throw CommandException.failed("cannot read " + file + ": " + e);
        }
    }

    static void printErrors(CommandContext context, CommandLine line, List<ManifestError> errors) {
        if (line.hasOption(Commands.JSON)) {
            ObjectNode result = JsonNodeFactory.instance.objectNode().put("valid", errors.isEmpty());
            ArrayNode array = result.putArray("errors");
            errors.forEach(e -> array.addObject().put("path", e.path()).put("message", e.message()));
            context.printJson(result);
            return;
        }
        errors.forEach(context.err()::println);
    }

    private static InputStream open(CommandContext context, String file) throws IOException {
        return file.equals(STANDARD_INPUT) ? context.in() : Files.newInputStream(Path.of(file));
    }
}
