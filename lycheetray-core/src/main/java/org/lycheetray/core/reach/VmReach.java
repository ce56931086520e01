package org.lycheetray.core.reach;

import java.util.List;
import org.lycheetray.core.time.MonotonicTime;

/** What the local VM believes of its own paths to the backend servers. */
public sealed interface VmReach {
    /**
     * Returns the time from which the belief has been held.
     *
     * @return the time of the last change
     */
    MonotonicTime since();

    /**
     * Returns the name of the state, for logs and metrics.
     *
     * @return one of {@link #NAMES}
     */
    default String stateName() {
        return switch (this) {
            case Reaching r -> "reaching";
            case Checking c -> "checking";
            case CutOff c -> "cut-off";
        };
    }

    /** Names of all states. */
    List<String> NAMES = List.of("reaching", "checking", "cut-off");

    /**
     * The VM reaches servers, as far as is known; single ones may be out of its reach.
     *
     * @param since time of the last change
     */
    record Reaching(MonotonicTime since) implements VmReach {}

    /**
     * Connections to several servers failed. Servers that have not failed are checked, to tell a fault of the servers from
     * one of the local VM's paths.
     *
     * @param since time of the last change
     * @param unanswered number of checks without a result
     */
    record Checking(MonotonicTime since, int unanswered) implements VmReach {}

    /**
     * The VM reaches no server, while the servers themselves may be healthy.
     *
     * @param since time of the last change
     * @param failedServers number of servers to which connections failed, without one that succeeded in between
     */
    record CutOff(MonotonicTime since, int failedServers) implements VmReach {}
}
