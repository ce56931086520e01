package org.lycheetray.measure.fleet;

import java.io.IOException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.lycheetray.core.config.ConfigHead;
import org.lycheetray.core.config.Submission;
import org.lycheetray.core.config.SubmitResult;
import org.lycheetray.core.model.ClientAccount;
import org.lycheetray.core.model.ConfigVersion;
import org.lycheetray.core.model.Manifest;
import org.lycheetray.core.model.Vm;
import org.lycheetray.core.time.Clock;
import org.lycheetray.daemon.Daemon;
import org.lycheetray.daemon.limit.ListenerLimits;
import org.lycheetray.daemon.log.LogFormat;
import org.lycheetray.daemon.log.Logging;
import org.lycheetray.daemon.settings.Settings;
import org.lycheetray.platform.PlatformClient;
import org.lycheetray.platform.PlatformSettings;
import org.lycheetray.platform.config.ConfigClient;
import org.lycheetray.protocol.FleetSecret;
import org.lycheetray.standin.backend.BackendStandinFleet;
import org.lycheetray.standin.backend.BackendStandinSettings;
import org.lycheetray.standin.platform.PlatformStandinServer;
import org.lycheetray.standin.platform.PlatformStandinSettings;

/** A platform stand-in, backend server stand-ins and one daemon for each declared VM, talking over loopback. */
public final class LocalFleet implements AutoCloseable {
    /** Descriptors of each VM; all VMs are in one process. */
    private static final int MAX_DESCRIPTORS = 4_100;

    private final Clock clock = Clock.system();
    private final Manifest manifest;
    private final PlatformStandinServer platform;
    private final PlatformClient client;
    private final ConfigClient config;
    private final BackendStandinFleet backends;
    private final List<Daemon> daemons = new ArrayList<>();
    private int submissions;

    /**
     * Starts everything.
     *
     * @param example the manifest, moved to free ports
     * @param seed seed of the stand-ins
     * @throws IOException if no ports are free
     */
    public LocalFleet(Manifest example, long seed) throws IOException {
        Logging.configure(LogFormat.KEY_VALUE, "error");
        manifest = FreePorts.move(example);
        platform = PlatformStandinServer.create(PlatformStandinSettings.anyPort()
                .seed(seed)
                .vms(manifest.vms().stream().map(Vm::name).toList()));
        client = PlatformClient.create(new PlatformSettings(platform.url()));
        config = new ConfigClient(client.tables(), client.objects());
        backends = BackendStandinFleet.create(new BackendStandinSettings(manifest)
                .standardTime(Duration.ofMillis(2))
                .seed(seed));
        FleetSecret secret = FleetSecret.of("measure-fleet-" + seed + "-0123456789abcdef");
        for (Vm vm : manifest.vms()) {
            daemons.add(Daemon.create(settings(vm, secret), clock));
        }
    }

    /**
     * Gives the manifest with the ports in use.
     *
     * @return the manifest
     */
    public Manifest manifest() {
        return manifest;
    }

    /**
     * Gives the platform.
     *
     * @return the stand-in
     */
    public PlatformStandinServer platform() {
        return platform;
    }

    /**
     * Submits a manifest on the newest version.
     *
     * @param m the manifest
     * @return the version that it got
     */
    public ConfigVersion submit(Manifest m) {
        ConfigVersion base = config.readHead().block().map(ConfigHead::version).orElse(ConfigVersion.NONE);
        Submission submission = new Submission("measure-" + submissions++, "measure", clock.instant());
        SubmitResult result = config.submit(m, base, submission).block();
        if (result instanceof SubmitResult.Submitted s) {
            return s.ref().version();
        }
        throw new IllegalStateException("submission failed: " + result);
    }

    /**
     * Gives the manifest with other client accounts.
     *
     * @param accounts the accounts
     * @return the changed manifest, not submitted yet
     */
    public Manifest with(List<ClientAccount> accounts) {
        Manifest m = manifest;
        return new Manifest(
                m.regions(),
                m.dataCentres(),
                m.vms(),
                m.links(),
                m.services(),
                m.backendServers(),
                m.routes(),
                accounts,
                m.clientBlocks(),
                m.plannedDrains(),
                m.policy());
    }

    @Override
    public void close() throws InterruptedException {
        List<Thread> stops =
                daemons.stream().map(d -> Thread.ofVirtual().start(d::close)).toList();
        for (Thread t : stops) {
            t.join();
        }
        backends.close();
        client.close();
        platform.close();
    }

    private Settings settings(Vm vm, FleetSecret secret) {
        return new Settings(
                vm.name(),
                vm.dataCentre(),
                vm.callerEndpoint(),
                vm.peerEndpoint(),
                List.of(),
                platform.url(),
                secret,
                ListenerLimits.ofDescriptors(MAX_DESCRIPTORS),
                LogFormat.KEY_VALUE,
                "error");
    }
}
