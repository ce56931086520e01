package org.lycheetray.edge;

import io.vavr.control.Either;
import java.time.Duration;
import java.util.List;
import java.util.function.Supplier;
import org.lycheetray.daemon.log.LogEvent;
import org.lycheetray.edge.settings.EdgeSettings;

/** Reloads changed settings and applies those that can change without a restart. */
final class SettingsReloader {
    /** Period between checks of the settings file, which may change without a signal. */
    static final Duration CHECK_PERIOD = Duration.ofSeconds(1);

    private final Supplier<Either<List<String>, EdgeSettings>> reader;
    private final Edge edge;
    private Either<List<String>, EdgeSettings> lastResult;
    private EdgeSettings activeSettings;

    SettingsReloader(Supplier<Either<List<String>, EdgeSettings>> reader, EdgeSettings settings, Edge edge) {
        this.reader = reader;
        this.edge = edge;
        this.activeSettings = settings;
        this.lastResult = Either.right(settings);
    }

    /**
     * Reads the settings and applies them if they have changed since the last check.
     *
     * @param cause what triggered the check, for the log
     */
    synchronized void reloadIfChanged(String cause) {
        Either<List<String>, EdgeSettings> current = reader.get();
        if (current.equals(lastResult)) {
            return;
        }
        lastResult = current;
        if (current.isLeft()) {
            LogEvent.of("reload-failed")
                    .with("cause", cause)
                    .with("errors", current.getLeft())
                    .warn();
            return;
        }
        EdgeSettings next = current.get();
        boolean needsRestart =
                !next.withFleetLimits(activeSettings.fleetLimits()).equals(activeSettings);
        activeSettings = activeSettings.withFleetLimits(next.fleetLimits());
        edge.updateFleetLimits(next.fleetLimits());
        LogEvent.of("reloaded")
                .with("cause", cause)
                .with("needs-restart", needsRestart)
                .info();
    }
}
