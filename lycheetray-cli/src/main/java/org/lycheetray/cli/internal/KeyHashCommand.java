package org.lycheetray.cli.internal;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.List;
import org.apache.commons.cli.CommandLine;
import org.lycheetray.cli.ExitCode;
import org.lycheetray.core.model.KeyHash;

/** Prints the hash of a client key, for the {@code keyHashes} of a manifest. */
final class KeyHashCommand implements Command {
    private static final int MAX_KEY_BYTES = 4_096;

    @Override
    public List<String> words() {
        return List.of("key", "hash");
    }

    @Override
    public String arguments() {
        return "[KEY]";
    }

    @Override
    public String summary() {
        return "hash a key for keyHashes; without KEY, reads it from standard input, so that ps does not show it";
    }

    @Override
    public ExitCode run(CommandContext context, CommandLine line) throws CommandException {
        List<String> args = line.getArgList();
        if (args.size() > 1) {
            throw CommandException.usage("expected at most one KEY");
        }
        String key = args.isEmpty() ? readKey(context) : args.getFirst();
        if (key.isBlank() || !key.equals(key.strip())) {
            throw CommandException.usage("invalid key: it must not be empty or start or end with white space");
        }
        String hex = KeyHash.of(key).hex();
        if (line.hasOption(Commands.JSON)) {
            context.printJson(JsonNodeFactory.instance.objectNode().put("keyHash", hex));
        } else {
            context.out().println(hex);
        }
        return ExitCode.OK;
    }

    private static String readKey(CommandContext context) throws CommandException {
        try {
            byte[] bytes = context.in().readNBytes(MAX_KEY_BYTES + 1);
            if (bytes.length > MAX_KEY_BYTES) {
                throw CommandException.usage("invalid key: it is longer than " + MAX_KEY_BYTES + " bytes");
            }
            return new String(bytes, StandardCharsets.UTF_8).stripTrailing();
        } catch (IOException e) {
            throw CommandException.failed("cannot read the key from standard input: " + e);
        }
    }
}
