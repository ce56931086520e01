package org.lycheetray.standin;

import java.io.IOException;
import java.net.URI;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Options;
import org.lycheetray.core.manifest.ManifestReader;
import org.lycheetray.core.model.VmName;
import org.lycheetray.core.time.Clock;
import org.lycheetray.standin.demo.DemoAddresses;
import org.lycheetray.standin.demo.DemoChecks;
import org.lycheetray.standin.demo.DemoPlan;
import org.lycheetray.standin.http.JsonHttp;

/** The steps of {@code bin/demo} that need more than a shell. */
public final class DemoDriver {
    private static final int EXIT_WRONG = 1;
    private static final int EXIT_USAGE = 2;
    private static final Duration LIMIT = Duration.ofSeconds(90);

    private final DemoPlan plan;
    private final CommandLine line;

    private DemoDriver(DemoPlan plan, CommandLine line) {
        this.plan = plan;
        this.line = line;
    }

    /**
     * Runs one step: {@code plan} prints the entry VMs, {@code addresses} writes the file of addresses, {@code await}
     * waits until all entry VMs listen, {@code run} sends the requests.
     *
     * @param args step and options
     * @throws IOException if a file cannot be read or written
     */
    public static void main(String[] args) throws IOException {
        Options options = new Options()
                .addRequiredOption(null, "manifest", true, "example manifest")
                .addOption(null, "platform", true, "address of the platform's stand-in")
                .addOption(null, "pids", true, "process ids, VM=PID,...")
                .addOption(null, "file", true, "file to write: addresses, or the number of requests sent");
        CommandLine line = StandinCommandLine.parse("DemoDriver", options, args);
        DemoPlan plan = plan(line.getOptionValue("manifest"));
        String step = line.getArgList().isEmpty() ? "" : line.getArgList().getFirst();
        System.exit(new DemoDriver(plan, line).run(step));
    }

    private int run(String step) throws IOException {
        return switch (step) {
            case "plan" -> printPlan();
            case "addresses" -> writeAddresses();
            case "await" -> awaitVms();
            case "run" -> runChecks();
            default -> usage(step);
        };
    }

    private int printPlan() {
        plan.vms()
                .forEach(v -> System.out.printf(
                        "%s %s %s %s%n", v.name(), v.dataCentre(), v.callerEndpoint(), v.peerEndpoint()));
        return 0;
    }

    private int writeAddresses() throws IOException {
        Map<VmName, Long> pids = new HashMap<>();
        for (String pair : line.getOptionValue("pids", "").split(",", -1)) {
            String[] parts = pair.split("=", -1);
            pids.put(new VmName(parts[0]), Long.parseLong(parts[1]));
        }
        DemoAddresses addresses = DemoAddresses.of(
                plan, line.getOptionValue("manifest"), URI.create(line.getOptionValue("platform")), pids);
        Files.write(Path.of(line.getOptionValue("file")), JsonHttp.toBytes(addresses));
        return 0;
    }

    private int awaitVms() {
        if (checks().awaitAll("/healthz", LIMIT)) {
            return 0;
        }
        return failed("not all entry VMs listen after " + LIMIT.toSeconds() + " s");
    }

    private int runChecks() throws IOException {
        DemoChecks checks = checks();
        if (!checks.awaitAll("/readyz", LIMIT)) {
            return failed("not all entry VMs are ready after " + LIMIT.toSeconds() + " s");
        }
        if (!checks.awaitAdmission(LIMIT)) {
            return failed("not all entry VMs admit keyed requests after " + LIMIT.toSeconds() + " s");
        }
        boolean good = checks.run();
        if (line.hasOption("file")) {
            Files.writeString(Path.of(line.getOptionValue("file")), Long.toString(checks.sent()));
        }
        return good ? 0 : EXIT_WRONG;
    }

    private DemoChecks checks() {
        return new DemoChecks(plan, Clock.system(), System.out);
    }

    private static int failed(String problem) {
        System.err.println("demo: " + problem);
        return EXIT_WRONG;
    }

    private static int usage(String step) {
        System.err.println("demo: no step is called '" + step + "'; steps are plan, addresses, await, run");
        return EXIT_USAGE;
    }

    private static DemoPlan plan(String file) throws IOException {
        return new DemoPlan(ManifestReader.read(Files.readAllBytes(Path.of(file)))
                .getOrElseThrow(errors -> new IllegalArgumentException(file + ": " + errors)));
    }
}
