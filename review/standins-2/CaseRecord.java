package org.lycheetray.review;

import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Locale;

/** Writes what was sent, answered and run, with the time since the start in seconds. */
final class CaseRecord implements AutoCloseable {
    private final PrintWriter out;
    private final long start = System.nanoTime();

    CaseRecord(Path file) throws IOException {
        out = new PrintWriter(Files.newBufferedWriter(file));
    }

    double now() {
        return (System.nanoTime() - start) / 1e9;
    }

    synchronized void add(String format, Object... values) {
        out.printf(Locale.ROOT, "%8.3f %s%n", now(), String.format(Locale.ROOT, format, values));
        out.flush();
    }

    /** Adds a line that is also shown on the terminal. */
    void say(String format, Object... values) {
        add(format, values);
        System.out.println(String.format(Locale.ROOT, format, values));
    }

    @Override
    public synchronized void close() {
        out.close();
    }
}
