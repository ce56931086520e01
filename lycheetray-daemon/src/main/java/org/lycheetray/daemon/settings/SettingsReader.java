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
import org.lycheetray.daemon.log.LogFormat;
import org.lycheetray.protocol.FleetSecret;

/** Reads settings from flags and environment variables and reports every problem at once. */
public final class SettingsReader {
    private static final Set<String> LEVELS = Set.of("trace", "debug", "info", "warn", "error");
    private static final String FLEET_SECRET_VARIABLE = "LYCHEETRAY_FLEET_SECRET";
    private static final String ADDRESS_FORM = "HOST:PORT with a port from 1 to 65535";
    private static final String NAME_FORM = "a name of lower-case letters, digits and inner hyphens";

    private final Map<String, String> environment;
    private final List<SettingsError> errors = new ArrayList<>();
    private final Map<Setting, String> values = new EnumMap<>(Setting.class);

    /**
     * Creates a reader.
     *
     * @param environment environment variables of the process
     */
    public SettingsReader(Map<String, String> environment) {
        this.environment = Map.copyOf(environment);
    }

    /**
     * Gives the flags for the help text and for parsing.
     *
     * @return all options, the informational ones included
     */
    public static Options options() {
        Options options = new Options();
        for (Setting s : Setting.values()) {
            options.addOption(Option.builder()
                    .longOpt(s.flag())
                    .hasArg()
                    .argName(s.argument())
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
     * Reads and checks the settings.
     *
     * @param args command-line arguments
     * @return the settings, or every problem found
     */
    public Either<List<SettingsError>, Settings> read(String... args) {
        return parse(args).flatMap(this::check);
    }

    private Either<List<SettingsError>, CommandLine> parse(String... args) {
        try {
            CommandLine line = new DefaultParser().parse(options(), args);
            if (line.getArgList().isEmpty()) {
                return Either.right(line);
            }
            return Either.left(line.getArgList().stream()
                    .map(a -> new SettingsError("", a, "flags only"))
                    .toList());
        } catch (ParseException e) {
            return Either.left(List.of(new SettingsError("", e.getMessage(), "a flag of --help")));
        }
    }

    private Either<List<SettingsError>, Settings> check(CommandLine line) {
        for (Setting s : Setting.values()) {
            collect(s, line);
        }
        VmName vm = take(Setting.VM, NAME_FORM, VmName::new);
        DataCentreName dataCentre = take(Setting.DATA_CENTRE, NAME_FORM, DataCentreName::new);
        Endpoint callers = take(Setting.CALLERS, ADDRESS_FORM, Endpoint::parse);
        Endpoint peers = take(Setting.PEERS, ADDRESS_FORM, Endpoint::parse);
        List<Endpoint> seeds = take(Setting.SEEDS, ADDRESS_FORM + ", comma-separated", SettingsReader::endpoints);
        URI platform = take(Setting.PLATFORM, "an http or https URL", SettingsReader::url);
        FleetSecret secret = secret();
        LogFormat format = take(Setting.LOG_FORMAT, "key-value or json", SettingsReader::format);
        String level =
                take(Setting.LOG_LEVEL, "one of " + LEVELS.stream().sorted().toList(), SettingsReader::level);
        if (!errors.isEmpty()) {
            return Either.left(List.copyOf(errors));
        }
        return Either.right(new Settings(vm, dataCentre, callers, peers, seeds, platform, secret, format, level));
    }

    private void collect(Setting s, CommandLine line) {
        String value = line.getOptionValue(s.flag(), environment.getOrDefault(s.variable(), s.standard()));
        if (value != null) {
            values.put(s, value.strip());
        }
    }

    private <T> T take(Setting s, String expected, Function<String, T> parser) {
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

    private FleetSecret secret() {
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

    private static List<Endpoint> endpoints(String text) {
        return Arrays.stream(text.split(","))
                .filter(part -> !part.isBlank())
                .map(String::strip)
                .map(Endpoint::parse)
                .toList();
    }

    private static URI url(String text) {
        URI uri = URI.create(text);
        boolean http = "http".equals(uri.getScheme()) || "https".equals(uri.getScheme());
        if (!http || uri.getHost() == null) {
            throw new IllegalArgumentException("not an http URL");
        }
        return uri;
    }

    private static LogFormat format(String text) {
        return switch (text) {
            case "key-value" -> LogFormat.KEY_VALUE;
            case "json" -> LogFormat.JSON;
            default -> throw new IllegalArgumentException(text);
        };
    }

    private static String level(String text) {
        if (!LEVELS.contains(text)) {
            throw new IllegalArgumentException(text);
        }
        return text;
    }
}
