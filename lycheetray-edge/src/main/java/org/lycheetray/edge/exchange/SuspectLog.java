package org.lycheetray.edge.exchange;

import java.util.Optional;
import org.lycheetray.core.suspect.CrashSuspects;
import org.lycheetray.daemon.log.LogEvent;

/** Logs what changes about requests that are suspected of crashing backend servers. */
final class SuspectLog {
    private SuspectLog() {}

    static void write(Optional<CrashSuspects.Change> change, String source) {
        change.ifPresent(c -> LogEvent.of(eventName(c))
                .with("digest", c.digest())
                .with("crashes", c.crashes())
                .with("before", c.before())
                .with("source", source)
                .info());
    }

    private static String eventName(CrashSuspects.Change c) {
        if (c.clears()) {
            return "request-cleared";
        }
        return c.quarantines() ? "request-quarantined" : "request-suspected";
    }
}
