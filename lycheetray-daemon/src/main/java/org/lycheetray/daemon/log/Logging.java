package org.lycheetray.daemon.log;

import java.util.Locale;
import org.tinylog.configuration.Configuration;

/** Sets up tinylog; must be called before the first event is logged. */
public final class Logging {
    private static volatile LogFormat format = LogFormat.KEY_VALUE;

    private Logging() {}

    /**
     * Chooses format and level for the whole process.
     *
     * @param chosen format of the events
     * @param level tinylog's level, for example {@code info}
     */
    public static void configure(LogFormat chosen, String level) {
        format = chosen;
        Configuration.set("writer", "console");
        Configuration.set("writer.stream", "out");
        Configuration.set("writingthread", "true");
        Configuration.set("level", level.toLowerCase(Locale.ROOT));
        Configuration.set("level@io.netty", "warn");
        Configuration.set("level@reactor", "warn");
        Configuration.set("writer.format", "{message}");
    }

    static LogFormat format() {
        return format;
    }
}
