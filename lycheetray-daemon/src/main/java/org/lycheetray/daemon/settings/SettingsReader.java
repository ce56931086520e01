package org.lycheetray.daemon.settings;

import io.vavr.control.Either;
import java.io.IOException;
import java.net.URI;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Function;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.DefaultParser;
import org.apache.commons.cli.Option;
import org.apache.commons.cli.Options;
import org.apache.commons.cli.ParseException;
import org.lycheetray.core.model.DataCentreName;
import org.lycheetray.core.model.Endpoint;
import org.lycheetray.core.model.VmName;
import org.lycheetray.daemon.limit.ListenerLimits;
import org.lycheetray.daemon.log.LogFormat;
import org.lycheetray.protocol.FleetSecret;

/** Reads settings from flags and environment variables and reports all errors at once. */
public final class SettingsReader {
    private static final Set<String> LOG_LEVELS = Set.of("trace", "debug", "info", "warn", "error");
    private static final String FLEET_SECRET_VARIABLE = "LYCHEETRAY_FLEET_SECRET";
    private static final String ADDRESS_FORMAT = "HOST:PORT with a port from 1 to 65535";
    private static final String NAME_FORMAT = "a name of lower-case letters, digits and inner hyphens";

    private final Map<String, String> environment;
    private final List<SettingsError> errors = new ArrayList<>();
    private final Map<Setting, String> values = new EnumMap<>(Setting.class);

    /**
     * Creates a reader.
     *
     * @param environment environment variables by name
     */
    public SettingsReader(Map<String, String> environment) {
        this.environment = Map.copyOf(environment);
    }

    /**
     * Returns the options for parsing the command line and printing the help text.
     *
     * @return all options, including {@code --help}, {@code --version} and {@code --check-settings}
     */
    public static Options options() {
        Options options = new Options();
        for (Setting s : Setting.values()) {
            options.addOption(Option.builder()
                    .longOpt(s.flag())
                    .hasArg()
                    .argName(s.argumentName())
                    .desc(s.description())
                    .get());
        }
        options.addOption(
                Option.builder("h").longOpt("help").desc("print this help").get());
        options.addOption(
                Option.builder().longOpt("version").desc("print the version").get());
        options.addOption(Option.builder()
                .longOpt("check-settings")
                .desc("check the settings and exit")
                .get());
        return options;
    }

    /**
     * Reads and validates the settings. A reader must not be used twice, because it keeps the errors found.
     *
     * @param args command-line arguments
     * @return the settings, or all errors found
     */
    public Either<List<SettingsError>, Settings> read(String... args) {
        return parseArguments(args).flatMap(this::parseSettings);
    }

    private Either<List<SettingsError>, CommandLine> parseArguments(String... args) {
        try {
            CommandLine line = new DefaultParser().parse(options(), args);
            if (line.getArgList().isEmpty()) {
                return Either.right(line);
            }
            return Either.left(line.getArgList().stream()
                    .map(a -> new SettingsError("", a, "no positional arguments"))
                    .toList());
        } catch (ParseException e) {
            return Either.left(List.of(new SettingsError("", e.getMessage(), "a flag listed by --help")));
        }
    }

    private Either<List<SettingsError>, Settings> parseSettings(CommandLine line) {
        for (Setting s : Setting.values()) {
            readValue(s, line);
        }
        VmName vm = parseSetting(Setting.VM, NAME_FORMAT, VmName::new);
        DataCentreName dataCentre = parseSetting(Setting.DATA_CENTRE, NAME_FORMAT, DataCentreName::new);
        Endpoint callers = parseSetting(Setting.CALLERS, ADDRESS_FORMAT, Endpoint::parse);
        Endpoint peers = parseSetting(Setting.PEERS, ADDRESS_FORMAT, Endpoint::parse);
        List<Endpoint> seeds =
                parseSetting(Setting.SEEDS, ADDRESS_FORMAT + ", comma-separated", SettingsReader::parseEndpoints);
        URI platform = parseSetting(Setting.PLATFORM, "an http or https URL", SettingsReader::parseUrl);
        FleetSecret secret = readFleetSecret();
        ListenerLimits limits = parseSetting(
                Setting.MAX_DESCRIPTORS,
                "a whole number from 1",
                text -> ListenerLimits.ofDescriptors(Integer.parseInt(text)));
        LogFormat format = parseSetting(Setting.LOG_FORMAT, "key-value or json", SettingsReader::parseLogFormat);
        String level = parseSetting(
                Setting.LOG_LEVEL, "one of " + LOG_LEVELS.stream().sorted().toList(), SettingsReader::parseLogLevel);
        if (!errors.isEmpty()) {
            return Either.left(List.copyOf(errors));
        }
        return Either.right(
                new Settings(vm, dataCentre, callers, peers, seeds, platform, secret, limits, format, level));
    }

    private void readValue(Setting s, CommandLine line) {
        String value =
                line.getOptionValue(s.flag(), environment.getOrDefault(s.environmentVariable(), s.defaultValue()));
        if (value != null) {
            values.put(s, value.strip());
        }
    }

    private <T> T parseSetting(Setting s, String expected, Function<String, T> parser) {
        String value = values.get(s);
        if (value == null) {
            errors.add(new SettingsError(s.flag(), "", expected));
            return null;
        }
        try {
            return parser.apply(value);
        } catch (IllegalArgumentException e) {
            errors.add(new SettingsError(s.flag(), value, expected));
            return null;
        }
    }

    private FleetSecret readFleetSecret() {
        String expected = "a readable file with at least " + FleetSecret.MIN_LENGTH + " characters, or the variable "
                + FLEET_SECRET_VARIABLE;
        String file = values.get(Setting.FLEET_SECRET_FILE);
        try {
            String text = file == null ? environment.get(FLEET_SECRET_VARIABLE) : Files.readString(Path.of(file));
            if (text != null) {
                return FleetSecret.of(text);
            }
        } catch (IOException | IllegalArgumentException e) {
            errors.add(new SettingsError(Setting.FLEET_SECRET_FILE.flag(), file == null ? "" : file, expected));
            return null;
        }
        errors.add(new SettingsError(Setting.FLEET_SECRET_FILE.flag(), "", expected));
        return null;
    }

    private static List<Endpoint> parseEndpoints(String text) {
        return Arrays.stream(text.split(","))
                .filter(part -> !part.isBlank())
                .map(String::strip)
                .map(Endpoint::parse)
                .toList();
    }

    private static URI parseUrl(String text) {
        URI uri = URI.create(text);
        boolean http = "http".equals(uri.getScheme()) || "https".equals(uri.getScheme());
        if (!http || uri.getHost() == null) {
            throw new IllegalArgumentException("not an http or https URL");
        }
        return uri;
    }

    private static LogFormat parseLogFormat(String text) {
        return switch (text) {
            case "key-value" -> LogFormat.KEY_VALUE;
            case "json" -> LogFormat.JSON;
            default -> throw new IllegalArgumentException(text);
        };
    }

    private static String parseLogLevel(String text) {
        if (!LOG_LEVELS.contains(text)) {
            throw new IllegalArgumentException(text);
        }
        return text;
    }
}
