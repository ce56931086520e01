package org.lycheetray.standin;

import java.time.Duration;
import java.util.Arrays;
import java.util.List;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Options;
import org.lycheetray.core.model.Endpoint;
import org.lycheetray.core.model.VmName;
import org.lycheetray.standin.platform.PlatformStandinServer;
import org.lycheetray.standin.platform.PlatformStandinSettings;

/** Runs the platform's stand-in until the process is stopped. For trials only: keeps everything in memory. */
public final class PlatformStandin {
    private PlatformStandin() {}

    /**
     * Starts the stand-in.
     *
     * @param args {@code --listen HOST:PORT}, and optionally {@code --vms NAME,...}, {@code --vm-list-lag-ms N},
     *     {@code --seed N}
     */
    public static void main(String[] args) {
        Options options = new Options()
                .addRequiredOption(null, "listen", true, "address to listen on, HOST:PORT")
                .addOption(null, "vms", true, "names of the VMs listed as live, separated by commas")
                .addOption(null, "vm-list-lag-ms", true, "milliseconds by which the list of VMs lags, default 3000")
                .addOption(null, "seed", true, "seed that chooses lost answers, default 1");
        CommandLine line = StandinCommandLine.parse("PlatformStandin", options, args);
        PlatformStandinServer server = PlatformStandinServer.create(settings(line));
        System.out.println("platform stand-in (for trials only) on " + server.url());
        server.await();
    }

    private static PlatformStandinSettings settings(CommandLine line) {
        List<VmName> vms = Arrays.stream(line.getOptionValue("vms", "").split(","))
                .filter(v -> !v.isBlank())
                .map(VmName::new)
                .toList();
        return new PlatformStandinSettings(Endpoint.parse(line.getOptionValue("listen")))
                .vms(vms)
                .vmListLag(Duration.ofMillis(Long.parseLong(line.getOptionValue("vm-list-lag-ms", "3000"))))
                .seed(Long.parseLong(line.getOptionValue("seed", "1")));
    }
}
