package org.lycheetray.daemon.log;

import java.util.Locale;
import org.tinylog.configuration.Configuration;

/** Configures tinylog. {@link #configure} must be called before the first event is logged. */
public final class Logging {
    private static volatile LogFormat format = LogFormat.KEY_VALUE;

    private Logging() {}

    /**
     * Sets the log format and level of the process.
     *
     * @param logFormat format of log events
     * @param level minimum tinylog level to log, for example {@code info}
     */
    public static void configure(LogFormat logFormat, String level) {
        format = logFormat;
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
