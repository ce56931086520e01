package org.lycheetray.daemon;

import io.vavr.control.Either;
import java.util.Arrays;
import java.util.List;
import org.apache.commons.cli.help.HelpFormatter;
import org.lycheetray.core.time.Clock;
import org.lycheetray.daemon.log.LogEvent;
import org.lycheetray.daemon.log.Logging;
import org.lycheetray.daemon.settings.Settings;
import org.lycheetray.daemon.settings.SettingsError;
import org.lycheetray.daemon.settings.SettingsReader;

/** Entry point of the daemon. */
public final class Lycheetrayd {
    private static final int EXIT_FAILED = 1;
    private static final int EXIT_USAGE = 2;

    private Lycheetrayd() {}

    /**
     * Runs the daemon until it is told to stop.
     *
     * @param args flags; see {@code --help}
     * @throws Exception if the help could not be printed or the wait was interrupted
     */
    public static void main(String[] args) throws Exception {
        List<String> given = Arrays.asList(args);
        if (given.contains("--help") || given.contains("-h")) {
            HelpFormatter.builder()
                    .get()
                    .printHelp("lycheetrayd [flags]", "An entry VM.", SettingsReader.options(), "", false);
            return;
        }
        if (given.contains("--version")) {
            System.out.println("lycheetrayd " + version());
            return;
        }
        Either<List<SettingsError>, Settings> settings = new SettingsReader(System.getenv()).read(args);
        if (settings.isLeft()) {
            settings.getLeft().forEach(e -> System.err.println("lycheetrayd: " + e));
            System.exit(EXIT_USAGE);
        }
        if (given.contains("--check-settings")) {
            System.out.println("settings are valid");
            return;
        }
        run(settings.get());
    }

    private static void run(Settings settings) throws InterruptedException {
        Logging.configure(settings.logFormat(), settings.logLevel());
        Daemon daemon = start(settings);
        Runtime.getRuntime().addShutdownHook(new Thread(() -> stop(daemon), "stop"));
        daemon.awaitStopped();
    }

    /** Stops as planned; ends the process with status 0, which a signal alone would not give. */
    private static void stop(Daemon daemon) {
        daemon.close();
        Runtime.getRuntime().halt(0);
    }

    private static Daemon start(Settings settings) {
        try {
            return Daemon.create(settings, Clock.system());
        } catch (RuntimeException e) {
            LogEvent.of("start-failed")
                    .with("step", "listen")
                    .with("vm", settings.vm())
                    .with("cause", e)
                    .error();
            System.exit(EXIT_FAILED);
            throw e;
        }
    }

    private static String version() {
        String version = Lycheetrayd.class.getPackage().getImplementationVersion();
        return version == null ? "development" : version;
    }
}
