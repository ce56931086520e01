package org.lycheetray.daemon.log;

import com.fasterxml.jackson.core.io.JsonStringEncoder;
import java.time.Instant;
import java.time.InstantSource;
import org.tinylog.Logger;

/**
 * Builder for one structured log event.
 *
 * <p>Values are not redacted. Callers must not pass API keys, secrets or message bodies.
 */
public final class LogEvent {
    private static final InstantSource CLOCK = InstantSource.system();

    /** Maximum length of a value; the rest of a longer one, such as an identifier that a caller chose, is cut off. */
    private static final int MAX_VALUE_CHARS = 1_000;

    private final String name;
    private final StringBuilder fields = new StringBuilder();

    private LogEvent(String name) {
        this.name = name;
    }

    /**
     * Creates an event without fields.
     *
     * @param name name of the event, words separated by hyphens
     * @return the event
     */
    public static LogEvent of(String name) {
        return new LogEvent(name);
    }

    /**
     * Adds a field.
     *
     * @param key name of the field, written without escaping
     * @param value value of the field, converted with {@link String#valueOf(Object)}
     * @return this event
     */
    public LogEvent with(String key, Object value) {
        String text = limit(String.valueOf(value));
        if (Logging.format() == LogFormat.JSON) {
            fields.append(",\"")
                    .append(key)
                    .append("\":\"")
                    .append(escape(text))
                    .append('"');
        } else {
            fields.append(' ').append(key).append('=').append(quoteIfNeeded(text));
        }
        return this;
    }

    private static String limit(String text) {
        return text.length() <= MAX_VALUE_CHARS ? text : text.substring(0, MAX_VALUE_CHARS) + "...";
    }

    /** Logs at debug level. */
    public void debug() {
        Logger.debug(() -> line("debug"));
    }

    /** Logs at info level. */
    public void info() {
        Logger.info(() -> line("info"));
    }

    /** Logs at warn level. */
    public void warn() {
        Logger.warn(() -> line("warn"));
    }

    /** Logs at error level. */
    public void error() {
        Logger.error(() -> line("error"));
    }

    private String line(String level) {
        Instant now = CLOCK.instant();
        if (Logging.format() == LogFormat.JSON) {
            return "{\"time\":\"" + now + "\",\"level\":\"" + level + "\",\"event\":\"" + name + '"' + fields + '}';
        }
        return "time=" + now + " level=" + level + " event=" + name + fields;
    }

    private static String quoteIfNeeded(String text) {
        boolean simple = !text.isEmpty() && text.chars().allMatch(c -> c > ' ' && c != '"' && c != '=');
        return simple ? text : '"' + escape(text) + '"';
    }

    private static String escape(String text) {
        return new String(JsonStringEncoder.getInstance().quoteAsString(text));
    }
}
