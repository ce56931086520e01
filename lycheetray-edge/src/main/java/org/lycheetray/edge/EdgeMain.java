package org.lycheetray.edge;

import io.vavr.control.Either;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.DefaultParser;
import org.apache.commons.cli.Option;
import org.apache.commons.cli.Options;
import org.apache.commons.cli.ParseException;
import org.lycheetray.core.time.Clock;
import org.lycheetray.daemon.lifecycle.ProcessUtil;
import org.lycheetray.daemon.log.LogEvent;
import org.lycheetray.daemon.log.LogFormat;
import org.lycheetray.daemon.log.Logging;
import org.lycheetray.edge.settings.EdgeSetting;
import org.lycheetray.edge.settings.EdgeSettings;
import org.lycheetray.edge.settings.EdgeSettingsReader;

/** Runs the entry VM process: parses the command line, reads settings and handles signals. */
public final class EdgeMain {
    private static final int EXIT_USAGE = 2;

    private final Path file;
    private final Map<EdgeSetting, String> overrides;

    private EdgeMain(Path file, Map<EdgeSetting, String> overrides) {
        this.file = file;
        this.overrides = overrides;
    }

    /**
     * Runs an entry VM until it receives a stop signal.
     *
     * <p>Flags take precedence over environment variables, and these over the settings file. Exits with status 2 if the
     * settings or flags are invalid.
     *
     * @param file settings file; may be absent
     * @param args command-line flags
     * @param adapter adapter to the platform
     * @throws InterruptedException if the thread is interrupted while waiting for the stop
     */
    public static void run(Path file, String[] args, EdgeAdapter adapter) throws InterruptedException {
        SighupHandler sighup = SighupHandler.install();
        List<String> flags = Arrays.asList(args);
        if (flags.contains("--help") || flags.contains("-h")) {
            printHelp();
            return;
        }
        Logging.configure(LogFormat.KEY_VALUE, "info");
        Logging.disableAutomaticShutdown();
        EdgeMain main = new EdgeMain(file, overrides(args));
        Either<List<String>, EdgeSettings> settings = main.readSettings();
        if (settings.isLeft()) {
            settings.getLeft().forEach(e -> System.err.println("lycheetray: " + e));
            System.exit(EXIT_USAGE);
        }
        if (flags.contains("--check-settings")) {
            System.out.println("settings are valid");
            return;
        }
        main.start(settings.get(), adapter, sighup);
    }

    private void start(EdgeSettings settings, EdgeAdapter adapter, SighupHandler sighup) throws InterruptedException {
        Edge edge = ProcessUtil.startOrExit(settings.vm(), () -> Edge.start(settings, adapter, Clock.system()));
        SettingsReloader reloader = new SettingsReloader(this::readSettings, settings, edge);
        sighup.setAction(() -> reloader.reloadIfChanged("signal"));
        ProcessUtil.registerShutdownHook(edge::close);
        while (!edge.awaitStopped(SettingsReloader.CHECK_PERIOD)) {
            try {
                reloader.reloadIfChanged("file");
            } catch (RuntimeException | OutOfMemoryError e) {
                // This is the only thread that keeps the process running.
                LogEvent.of("task-failed")
                        .with("where", "settings")
                        .with("cause", e)
                        .error();
            }
        }
    }

    private Either<List<String>, EdgeSettings> readSettings() {
        try {
            String text = Files.exists(file) ? Files.readString(file) : "";
            return EdgeSettingsReader.read(text, overrides);
        } catch (IOException e) {
            return Either.left(List.of(file + ": " + e));
        }
    }

    private static Options options() {
        Options options = new Options();
        for (EdgeSetting s : EdgeSetting.values()) {
            options.addOption(Option.builder()
                    .longOpt(s.flag())
                    .hasArg()
                    .desc(s.description())
                    .get());
        }
        options.addOption(Option.builder()
                .longOpt("check-settings")
                .desc("check the settings and exit")
                .get());
        return options;
    }

    private static Map<EdgeSetting, String> overrides(String[] args) {
        Map<EdgeSetting, String> overrides = new EnumMap<>(EdgeSetting.class);
        try {
            CommandLine line = new DefaultParser().parse(options(), args);
            for (EdgeSetting s : EdgeSetting.values()) {
                String env = System.getenv(s.variableName());
                if (env != null) {
                    overrides.put(s, env);
                }
                if (line.hasOption(s.flag())) {
                    overrides.put(s, line.getOptionValue(s.flag()));
                }
            }
        } catch (ParseException e) {
            System.err.println("lycheetray: " + e.getMessage());
            System.exit(EXIT_USAGE);
        }
        return overrides;
    }

    private static void printHelp() {
        System.out.println(
                "Runs an entry VM whose backend servers register themselves. Settings, as NAME=value in the");
        System.out.println("settings file or the environment, or as flags:");
        for (EdgeSetting s : EdgeSetting.values()) {
            System.out.println("  " + s.variableName() + ", --" + s.flag() + ": " + s.description()
                    + (s.defaultValue().isEmpty() ? "" : " (" + s.defaultValue() + ")"));
        }
    }
}
