package review;

import java.io.IOException;
import java.io.PrintWriter;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;

/** One run of a case: its record, its clock, its folder for temporary files, and what must end with it. */
final class Run implements AutoCloseable {
    /** Not 1, which is also the status of a JVM that fails to start. */
    static final int BROKEN = 10;
    static final int HELD = 0;
    static final int NOT_RUN = 2;

    private final long start = System.nanoTime();
    private final PrintWriter record;
    private final Path folder;
    private final boolean trouble;
    private final List<AutoCloseable> resources = new ArrayList<>();

    Run(Path caseFolder) throws IOException {
        record = new PrintWriter(Files.newBufferedWriter(caseFolder.resolve("record.txt")));
        folder = Files.createTempDirectory("lycheetray-review");
        trouble = !"0".equals(System.getenv("TROUBLE"));
        note("disruption: " + (trouble ? "on" : "off"));
    }

    boolean trouble() {
        return trouble;
    }

    Path folder() {
        return folder;
    }

    /** Seconds since the start of the run. */
    double now() {
        return (System.nanoTime() - start) / 1e9;
    }

    synchronized void note(String line) {
        String l = String.format(Locale.ROOT, "%8.3f s  %s", now(), line);
        record.println(l);
        record.flush();
    }

    synchronized void verdict(String line) {
        note(line);
        System.out.println(line);
    }

    <T extends AutoCloseable> T add(T resource) {
        resources.add(resource);
        return resource;
    }

    static void sleepMs(long ms) {
        try {
            Thread.sleep(ms);
        } catch (InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }

    /** Waits until a time of this run, in seconds. */
    void sleepUntil(double seconds) {
        sleepMs(Math.max(0, (long) ((seconds - now()) * 1_000)));
    }

    static int freePort() throws IOException {
        try (ServerSocket s = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            return s.getLocalPort();
        }
    }

    static int freeUdpPort() throws IOException {
        try (DatagramSocket s = new DatagramSocket(0, InetAddress.getLoopbackAddress())) {
            return s.getLocalPort();
        }
    }

    /** What a case does. */
    interface Body {
        int run(Run run) throws Exception;
    }

    /** Runs a case and exits with its result. */
    static void main(Path caseFolder, Body body) {
        int result = NOT_RUN;
        try (Run run = new Run(caseFolder)) {
            try {
                result = body.run(run);
            } catch (Exception e) {
                run.verdict("the case could not run: " + e);
                e.printStackTrace();
            }
        } catch (Exception e) {
            e.printStackTrace();
            result = NOT_RUN;
        }
        Runtime.getRuntime().halt(result);
    }

    @Override
    public void close() throws Exception {
        for (AutoCloseable r : resources.reversed()) {
            try {
                r.close();
            } catch (Exception e) {
                note("not closed: " + e);
            }
        }
        record.close();
        try (var files = Files.walk(folder)) {
            for (Path p : files.sorted(java.util.Comparator.reverseOrder()).toList()) {
                Files.deleteIfExists(p);
            }
        }
    }
}
