package org.lycheetray.measure.path;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;

/** Reads processor time and resident memory of another process from the kernel's process files. */
final class ProcessProbe {
    private static final long TICKS_PER_SECOND = 100;
    private static final long BYTES_PER_KIB = 1024;
    private static final int USER_TIME = 11;
    private static final int SYSTEM_TIME = 12;

    private final Path directory;

    ProcessProbe(long pid) {
        this.directory = Path.of("/proc", Long.toString(pid));
    }

    /** Processor time used so far, all threads together. */
    Duration processorTime() throws IOException {
        String stat = Files.readString(directory.resolve("stat"));
        List<String> fields = List.of(stat.substring(stat.lastIndexOf(')') + 2).split(" ", -1));
        long ticks = Long.parseLong(fields.get(USER_TIME)) + Long.parseLong(fields.get(SYSTEM_TIME));
        return Duration.ofMillis(ticks * 1000 / TICKS_PER_SECOND);
    }

    /** Resident memory in bytes. */
    long residentBytes() throws IOException {
        List<String> lines = Files.readAllLines(directory.resolve("status"));
        String line = lines.stream()
                .filter(l -> l.startsWith("VmRSS:"))
                .findFirst()
                .orElseThrow(() -> new IOException("no resident memory in " + directory));
        return Long.parseLong(line.replaceAll("[^0-9]", "")) * BYTES_PER_KIB;
    }
}
