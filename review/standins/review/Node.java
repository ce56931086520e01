package review;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** A machine that runs the role of the deploy file as a process, with the settings of a small deployment. */
final class Node implements AutoCloseable {
    final String name;
    final int front = Run.freePort();
    final int ready = Run.freePort();
    final int directory = Run.freePort();
    private final int reports = Run.freeUdpPort();
    private final int metrics = Run.freePort();
    private final Run run;
    private final Path settings;
    private final Path log;
    private final List<String> command;
    private Process process;

    /** Prepares a machine; {@code storePort} is where it finds the platform's store. */
    Node(Run run, String name, String zone, int storePort) throws IOException {
        this.run = run;
        this.name = name;
        settings = run.folder().resolve(name + ".settings");
        log = run.folder().resolve(name + ".log");
        Files.writeString(settings, settings(zone, storePort));
        Matcher m = Pattern.compile("(?m)^run = \"(.*)\"$").matcher(Files.readString(Path.of("deploy/system.toml")));
        if (!m.find()) {
            throw new IOException("deploy/system.toml names no command");
        }
        command = new ArrayList<>(List.of(m.group(1).split(" ")));
        if (!Files.exists(Path.of(command.getFirst()))) {
            throw new IOException(command.getFirst() + " is missing: run the build of the deploy file first");
        }
    }

    /** Fills in the template of the deploy file. */
    private String settings(String zone, int storePort) throws IOException {
        Map<String, String> values = Map.ofEntries(
                Map.entry("node_name", name),
                Map.entry("zone", zone),
                Map.entry("ip", "127.0.0.1"),
                Map.entry("listen.front", "127.0.0.1:" + front),
                Map.entry("listen.ready", "127.0.0.1:" + ready),
                Map.entry("listen.directory", "127.0.0.1:" + directory),
                Map.entry("internal_ports.0", "" + reports),
                Map.entry("internal_ports.1", "" + metrics),
                Map.entry("platform.address", "127.0.0.1:" + storePort),
                Map.entry("limits.memory_mb", "430"),
                Map.entry("bounds.grace_period_s", "6"),
                Map.entry("bounds.ttl_max_s", "5"),
                Map.entry("bounds.retry_budget_ratio", "0.2"),
                Map.entry("bounds.retry_budget_extra", "56"),
                Map.entry("bounds.budget_window_s", "10"),
                Map.entry("bounds.quota_window_s", "5"),
                Map.entry("bounds.quota_overage", "0.1"),
                Map.entry("bounds.quota_slack", "20"),
                Map.entry("bounds.cold_overage", "1.5"),
                Map.entry("bounds.cold_slack", "5"),
                Map.entry("bounds.max_shift", "0.15"));
        String text = Files.readString(Path.of("deploy/settings.template"))
                .replaceAll("\\{\\{#zones}}.*\\{\\{/zones}}", "bangor:gogledd,caerdydd:de,aber:canolbarth");
        Matcher m = Pattern.compile("\\{\\{([a-z_.0-9]+)}}").matcher(text);
        return m.replaceAll(r -> {
            String v = values.get(r.group(1));
            if (v == null) {
                throw new IllegalStateException("no value for " + r.group(1));
            }
            return v;
        });
    }

    /** Starts the process. */
    void start() throws IOException {
        ProcessBuilder b = new ProcessBuilder(command);
        b.environment().keySet().retainAll(List.of("PATH", "HOME", "JAVA_HOME", "LANG"));
        b.environment().put("LYCHEETRAY_NODE_FILE", settings.toString());
        b.redirectErrorStream(true);
        b.redirectOutput(ProcessBuilder.Redirect.appendTo(log.toFile()));
        process = b.start();
        run.note(name + " is started");
    }

    void awaitReady() throws IOException {
        double limit = run.now() + 15;
        while (!isReady()) {
            if (run.now() > limit || !process.isAlive()) {
                throw new IOException(name + " does not become ready");
            }
            Run.sleepMs(50);
        }
        run.note(name + " is ready");
    }

    boolean isReady() {
        try {
            return Client.get(ready, "/v1/ready").status() == 200;
        } catch (IOException e) {
            return false;
        }
    }

    boolean isAlive() {
        return process.isAlive();
    }

    boolean awaitExit(long ms) throws InterruptedException {
        return process.waitFor(ms, TimeUnit.MILLISECONDS);
    }

    /** Sends a signal to this process. */
    void signal(String signal) throws IOException, InterruptedException {
        run.note(name + " gets SIG" + signal);
        new ProcessBuilder("/bin/sh", "-c", "kill -" + signal + " " + process.pid()).start().waitFor();
    }

    /** Copies the lines of the process' log that contain one of the words to the record. */
    void noteLog(String... words) throws IOException {
        for (String line : Files.readAllLines(log)) {
            for (String w : words) {
                if (line.contains(w)) {
                    run.note("log of " + name + ": " + line);
                    break;
                }
            }
        }
    }

    @Override
    public void close() throws Exception {
        if (process != null) {
            process.destroyForcibly().waitFor();
        }
    }
}
