package org.lycheetray.standin;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Options;
import org.lycheetray.core.manifest.ManifestReader;
import org.lycheetray.core.model.Manifest;
import org.lycheetray.core.model.ServiceName;
import org.lycheetray.standin.backend.BackendStandinFleet;
import org.lycheetray.standin.backend.BackendStandinSettings;

/** Runs all backend servers of a manifest until the process is stopped. For trials only. */
public final class BackendServerStandin {
    private static final int EXIT_MANIFEST = 2;

    private BackendServerStandin() {}

    /**
     * Starts the servers.
     *
     * @param args {@code --manifest FILE}, and optionally {@code --service-ms N} or {@code --service-ms SERVICE=N},
     *     repeated, {@code --restart-ms N}, {@code --remember-runs N}, {@code --seed N}
     * @throws IOException if the manifest cannot be read
     * @throws InterruptedException if the thread is interrupted
     */
    public static void main(String[] args) throws IOException, InterruptedException {
        Options options = new Options()
                .addRequiredOption(null, "manifest", true, "manifest that declares the backend servers")
                .addOption(null, "service-ms", true, "mean run time, N for all services or SERVICE=N, repeatable")
                .addOption(null, "restart-ms", true, "milliseconds for which a crashed server refuses, default 3000")
                .addOption(null, "remember-runs", true, "latest runs that are remembered, default 200000")
                .addOption(null, "seed", true, "seed of the run times, default 1");
        CommandLine line = StandinCommandLine.parse("BackendServerStandin", options, args);
        BackendStandinSettings settings = new BackendStandinSettings(manifest(line.getOptionValue("manifest")))
                .restartTime(Duration.ofMillis(Long.parseLong(line.getOptionValue("restart-ms", "3000"))))
                .rememberedRuns(Integer.parseInt(line.getOptionValue("remember-runs", "200000")))
                .seed(Long.parseLong(line.getOptionValue("seed", "1")));
        addServiceTimes(settings, line);
        try (BackendStandinFleet fleet = BackendStandinFleet.create(settings)) {
            System.out.println("backend server stand-in (for trials only): " + fleet.size() + " servers");
            fleet.await();
        }
    }

    private static void addServiceTimes(BackendStandinSettings settings, CommandLine line) {
        String[] times = line.getOptionValues("service-ms");
        for (String t : times == null ? new String[0] : times) {
            int at = t.indexOf('=');
            Duration time = Duration.ofMillis(Long.parseLong(t.substring(at + 1)));
            if (at < 0) {
                settings.standardTime(time);
            } else {
                settings.serviceTime(new ServiceName(t.substring(0, at)), time);
            }
        }
    }

    private static Manifest manifest(String file) throws IOException {
        return ManifestReader.read(Files.readAllBytes(Path.of(file))).getOrElseGet(errors -> {
            errors.forEach(e -> System.err.println(file + ": " + e));
            System.exit(EXIT_MANIFEST);
            throw new IllegalStateException("exited");
        });
    }
}
