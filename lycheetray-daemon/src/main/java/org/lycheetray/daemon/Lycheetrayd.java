package org.lycheetray.daemon;

import io.vavr.control.Either;
import java.util.Arrays;
import java.util.List;
import org.apache.commons.cli.help.HelpFormatter;
import org.lycheetray.core.time.Clock;
import org.lycheetray.daemon.lifecycle.ProcessUtil;
import org.lycheetray.daemon.log.Logging;
import org.lycheetray.daemon.settings.Settings;
import org.lycheetray.daemon.settings.SettingsError;
import org.lycheetray.daemon.settings.SettingsReader;

/** Main class of the daemon {@code lycheetrayd}. */
public final class Lycheetrayd {
    private static final int EXIT_USAGE = 2;

    private Lycheetrayd() {}

    /**
     * Runs the daemon until the process receives a termination signal.
     *
     * @param args command-line flags, as listed by {@code --help}
     * @throws Exception if printing the help text fails or the main thread is interrupted
     */
    public static void main(String[] args) throws Exception {
        List<String> flags = Arrays.asList(args);
        if (flags.contains("--help") || flags.contains("-h")) {
            HelpFormatter.builder()
                    .get()
                    .printHelp("lycheetrayd [flags]", "An entry VM.", SettingsReader.options(), "", false);
            return;
        }
        if (flags.contains("--version")) {
            System.out.println("lycheetrayd " + version());
            return;
        }
        Either<List<SettingsError>, Settings> settings = new SettingsReader(System.getenv()).read(args);
        if (settings.isLeft()) {
            settings.getLeft().forEach(e -> System.err.println("lycheetrayd: " + e));
            System.exit(EXIT_USAGE);
        }
        if (flags.contains("--check-settings")) {
            System.out.println("settings are valid");
            return;
        }
        run(settings.get());
    }

    private static void run(Settings settings) throws InterruptedException {
        Logging.configure(settings.logFormat(), settings.logLevel());
        Logging.disableAutomaticShutdown();
        Daemon daemon = ProcessUtil.startOrExit(settings.vm(), () -> Daemon.create(settings, Clock.system()));
        ProcessUtil.registerShutdownHook(daemon::close);
        daemon.awaitStopped();
    }

    private static String version() {
        String version = Lycheetrayd.class.getPackage().getImplementationVersion();
        return version == null ? "development" : version;
    }
}
