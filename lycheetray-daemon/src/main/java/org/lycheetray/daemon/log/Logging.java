package org.lycheetray.daemon.log;

import java.time.Duration;
import java.util.Locale;
import org.tinylog.configuration.Configuration;
import org.tinylog.provider.ProviderRegistry;

/** Configures tinylog. {@link #configure} must be called before the first event is logged. */
public final class Logging {
    /** Longest time for which the end of the process waits for an output that accepts no more bytes. */
    private static final Duration FLUSH_TIMEOUT = Duration.ofSeconds(1);

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

    /**
     * Leaves the end of logging to {@link #shutdown}. Otherwise tinylog's own shutdown hook stops the writing thread while
     * the shutdown hooks of the process still log. Must be called before the first event is logged.
     */
    public static void disableAutomaticShutdown() {
        Configuration.set("autoshutdown", "false");
    }

    /** Writes the events logged so far, waiting a limited time, and stops logging. */
    public static void shutdown() {
        Thread flush = Thread.ofPlatform().daemon().name("log-flush").start(Logging::stopProvider);
        try {
            flush.join(FLUSH_TIMEOUT);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private static void stopProvider() {
        try {
            ProviderRegistry.getLoggingProvider().shutdown();
            System.out.flush();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    static LogFormat format() {
        return format;
    }
}
