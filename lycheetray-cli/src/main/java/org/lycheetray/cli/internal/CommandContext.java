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
 * The process resources available to a command.
 *
 * @param in standard input stream
 * @param out standard output stream, for results
 * @param err standard error stream, for progress and errors
 * @param environment environment variables
 * @param clock source of the current time
 */
public record CommandContext(
        InputStream in, PrintStream out, PrintStream err, Map<String, String> environment, Clock clock) {
    /** Name of the option for the platform URL. */
    public static final String PLATFORM = "platform";

    private static final String PLATFORM_VARIABLE = "LYCHEETRAY_PLATFORM";
    private static final JsonMapper JSON =
            JsonMapper.builder().enable(SerializationFeature.INDENT_OUTPUT).build();

    /**
     * Returns the context of the running process.
     *
     * @return a context with the standard streams, environment and system clock
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
     * Creates a client for the platform given by {@code --platform} or, without that option, by the environment
     * variable {@code LYCHEETRAY_PLATFORM}.
     *
     * @param line parsed options and arguments
     * @return the client, which the caller must close
     * @throws CommandException if neither is set or the URL is invalid
     */
    public PlatformClient createPlatformClient(CommandLine line) throws CommandException {
        String url = line.getOptionValue(PLATFORM, environment.getOrDefault(PLATFORM_VARIABLE, ""));
        if (url.isEmpty()) {
            throw CommandException.usage("no platform URL: set --" + PLATFORM + " or " + PLATFORM_VARIABLE);
        }
        try {
            return PlatformClient.create(new PlatformSettings(URI.create(url)));
        } catch (IllegalArgumentException e) {
            throw CommandException.usage(e.getMessage());
        }
    }

    /**
     * Prints a result to standard output as indented JSON.
     *
     * @param value the result
     */
    public void printJson(JsonNode value) {
        try {
            out.println(JSON.writeValueAsString(value));
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("result cannot be serialized as JSON", e);
        }
    }
}
