package org.lycheetray.cli.internal;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.SerializationFeature;
import com.fasterxml.jackson.databind.json.JsonMapper;
import java.io.InputStream;
import java.io.PrintStream;
import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import org.apache.commons.cli.CommandLine;
import org.lycheetray.core.time.Clock;
import org.lycheetray.platform.PlatformClient;
import org.lycheetray.platform.PlatformSettings;

/**
 * What a command may use of its process.
 *
 * @param in standard input
 * @param out results
 * @param err progress and errors
 * @param environment environment variables
 * @param clock time
 */
public record CommandContext(
        InputStream in, PrintStream out, PrintStream err, Map<String, String> environment, Clock clock) {
    /** Name of the option that gives the platform's address. */
    public static final String PLATFORM = "platform";

    private static final String PLATFORM_VARIABLE = "LYCHEETRAY_PLATFORM";
    private static final JsonMapper JSON =
            JsonMapper.builder().enable(SerializationFeature.INDENT_OUTPUT).build();

    /**
     * Gives the surroundings of this process.
     *
     * @return standard streams, environment and system clock
     */
    public static CommandContext ofProcess() {
        return new CommandContext(
                System.in,
                new PrintStream(System.out, false, StandardCharsets.UTF_8),
                System.err,
                System.getenv(),
                Clock.system());
    }

    /**
     * Reaches the platform that the flag or else the environment names.
     *
     * @param line parsed arguments
     * @return a client, to be closed
     * @throws CommandException if neither names a platform, or the address has another form
     */
    public PlatformClient platform(CommandLine line) throws CommandException {
        String url = line.getOptionValue(PLATFORM, environment.getOrDefault(PLATFORM_VARIABLE, ""));
        if (url.isEmpty()) {
            throw CommandException.usage("give the platform by --" + PLATFORM + " URL or " + PLATFORM_VARIABLE);
        }
        try {
            return PlatformClient.create(new PlatformSettings(URI.create(url)));
        } catch (IllegalArgumentException e) {
            throw CommandException.usage(e.getMessage());
        }
    }

    /**
     * Prints a result for scripts.
     *
     * @param value any value that Jackson writes
     */
    public void printJson(JsonNode value) {
        try {
            out.println(JSON.writeValueAsString(value));
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("a result could not be written as JSON", e);
        }
    }
}
