package org.lycheetray.edge;

import io.vavr.control.Either;
import java.time.Duration;
import java.util.List;
import java.util.function.Supplier;
import org.lycheetray.daemon.log.LogEvent;
import org.lycheetray.edge.settings.EdgeSettings;

/** Notices changed settings and puts those into force that can change while the process runs. */
final class SettingsWatch {
    /** Pause between looks at the settings file, which may change without a signal. */
    static final Duration PERIOD = Duration.ofSeconds(1);

    private final Supplier<Either<List<String>, EdgeSettings>> reader;
    private final Edge edge;
    private Either<List<String>, EdgeSettings> last;
    private EdgeSettings inForce;

    SettingsWatch(Supplier<Either<List<String>, EdgeSettings>> reader, EdgeSettings settings, Edge edge) {
        this.reader = reader;
        this.edge = edge;
        this.inForce = settings;
        this.last = Either.right(settings);
    }

    /**
     * Reads the settings again.
     *
     * @param cause what asked for it
     */
    synchronized void check(String cause) {
        Either<List<String>, EdgeSettings> now = reader.get();
        if (now.equals(last)) {
            return;
        }
        last = now;
        if (now.isLeft()) {
            LogEvent.of("reload-failed")
                    .with("cause", cause)
                    .with("errors", now.getLeft())
                    .warn();
            return;
        }
        EdgeSettings next = now.get();
        boolean restart = !next.withBounds(inForce.bounds()).equals(inForce);
        inForce = inForce.withBounds(next.bounds());
        edge.bounds(next.bounds());
        LogEvent.of("reloaded")
                .with("cause", cause)
                .with("needs-restart", restart)
                .info();
    }
}
