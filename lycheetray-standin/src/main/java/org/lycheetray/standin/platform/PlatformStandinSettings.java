package org.lycheetray.standin.platform;

import java.time.Duration;
import java.util.List;
import org.lycheetray.core.model.Endpoint;
import org.lycheetray.core.model.VmName;
import org.lycheetray.core.time.Clock;

/** Settings of a {@link PlatformStandinServer}; not safe for use by several threads. */
public final class PlatformStandinSettings {
    private static final int DEFAULT_WRITES_PER_SECOND = 500;
    private static final int DEFAULT_READS_PER_SECOND = 2_000;

    private final String host;
    private final int port;
    private final Clock clock = Clock.system();
    private int writesPerSecond = DEFAULT_WRITES_PER_SECOND;
    private int readsPerSecond = DEFAULT_READS_PER_SECOND;
    private Duration vmListLag = Duration.ofSeconds(3);
    private List<VmName> vms = List.of();
    private long seed = 1;

    /**
     * Creates settings with defaults for all but the address.
     *
     * @param listen address to listen on
     */
    public PlatformStandinSettings(Endpoint listen) {
        this(listen.host(), listen.port());
    }

    private PlatformStandinSettings(String host, int port) {
        this.host = host;
        this.port = port;
    }

    /**
     * Creates settings that let the machine choose a port on the loopback interface.
     *
     * @return the settings
     */
    public static PlatformStandinSettings anyPort() {
        return new PlatformStandinSettings("127.0.0.1", 0);
    }

    /**
     * Sets the operations allowed in a second.
     *
     * @param writes table writes and object puts, at least 1
     * @param reads table reads, scans, object reads, lists and VM lists, at least 1
     * @return this
     */
    public PlatformStandinSettings budget(int writes, int reads) {
        if (writes < 1 || reads < 1) {
            throw new IllegalArgumentException("budgets must be at least 1: %d, %d".formatted(writes, reads));
        }
        this.writesPerSecond = writes;
        this.readsPerSecond = reads;
        return this;
    }

    /**
     * Sets how far the list of VMs lags.
     *
     * @param lag zero or more
     * @return this
     */
    public PlatformStandinSettings vmListLag(Duration lag) {
        if (lag.isNegative()) {
            throw new IllegalArgumentException("lag must not be negative: " + lag);
        }
        this.vmListLag = lag;
        return this;
    }

    /**
     * Sets the VMs that are listed as live from the start.
     *
     * @param vms their names
     * @return this
     */
    public PlatformStandinSettings vms(List<VmName> vms) {
        this.vms = List.copyOf(vms);
        return this;
    }

    /**
     * Sets the seed that chooses lost answers.
     *
     * @param seed any number
     * @return this
     */
    public PlatformStandinSettings seed(long seed) {
        this.seed = seed;
        return this;
    }

    String host() {
        return host;
    }

    int port() {
        return port;
    }

    Clock clock() {
        return clock;
    }

    int writesPerSecond() {
        return writesPerSecond;
    }

    int readsPerSecond() {
        return readsPerSecond;
    }

    Duration vmListLag() {
        return vmListLag;
    }

    List<VmName> vms() {
        return vms;
    }

    long seed() {
        return seed;
    }
}
