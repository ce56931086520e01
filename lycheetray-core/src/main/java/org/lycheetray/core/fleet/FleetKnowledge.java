package org.lycheetray.core.fleet;

import java.util.List;
import org.lycheetray.core.time.MonotonicTime;

/**
 * What a VM knows of the VMs with which it shares the limits of the fleet.
 *
 * <p>Every part of such a limit is taken from it, so that a VM that knows little never takes a large part.
 */
public sealed interface FleetKnowledge {
    /** Number of VMs assumed while it is not known, for what a VM must hold to work at all. */
    int ASSUMED_VMS = 100;

    /** Names of all states, for logs and metrics. */
    List<String> STATE_NAMES = List.of("not-known", "joining", "known", "out-of-touch");

    /**
     * Returns the knowledge of a process that has read nothing yet.
     *
     * @return the knowledge
     */
    static FleetKnowledge initial() {
        return new NotKnown(0, MonotonicTime.ZERO);
    }

    /**
     * Returns the version of the knowledge.
     *
     * @return a number that rises with each change of the state or of the number of VMs
     */
    long version();

    /**
     * Returns the time of this version.
     *
     * @return the time
     */
    MonotonicTime since();

    /**
     * Returns the number of VMs that have a part of each limit, whether they can be reached or not.
     *
     * @return number of VMs, including the local VM; 0 if it is not known
     */
    default int vms() {
        return switch (this) {
            case NotKnown n -> 0;
            case Joining j -> j.vms();
            case Known k -> k.vms();
            case OutOfTouch o -> o.vms();
        };
    }

    /**
     * Returns the part of a limit that this VM may spend, where what has been spent cannot be taken back.
     *
     * @return 1 / number of VMs if the fleet is known, otherwise 0
     */
    default double spendablePart() {
        return this instanceof Known k ? 1.0 / k.vms() : 0;
    }

    /**
     * Returns the part of a limit of which this VM may hold something for as long as it needs it. It is kept while the
     * VM is out of touch, because no other VM takes it over.
     *
     * @return 1 / number of VMs, or 1 / {@link #ASSUMED_VMS} if that number is not known
     */
    default double heldPart() {
        return 1.0 / (vms() == 0 ? ASSUMED_VMS : vms());
    }

    /**
     * Returns the name of the state for logs and metrics.
     *
     * @return the name in lower case
     */
    default String stateName() {
        return switch (this) {
            case NotKnown n -> "not-known";
            case Joining j -> "joining";
            case Known k -> "known";
            case OutOfTouch o -> "out-of-touch";
        };
    }

    /**
     * The VM has not read the records of the other VMs yet.
     *
     * @param version version of the knowledge
     * @param since time of this version
     */
    record NotKnown(long version, MonotonicTime since) implements FleetKnowledge {}

    /**
     * The VM has read the records of the other VMs, which may not all know of it yet.
     *
     * @param vms number of VMs, including the local VM
     * @param version version of the knowledge
     * @param since time of this version
     */
    record Joining(int vms, long version, MonotonicTime since) implements FleetKnowledge {}

    /**
     * All VMs are known, and the majority of them report to this VM.
     *
     * @param vms number of VMs, including the local VM
     * @param version version of the knowledge
     * @param since time of this version
     */
    record Known(int vms, long version, MonotonicTime since) implements FleetKnowledge {}

    /**
     * The fleet was known, and the majority of its VMs have not reported lately.
     *
     * @param vms last known number of VMs, including the local VM
     * @param version version of the knowledge
     * @param since time of this version
     */
    record OutOfTouch(int vms, long version, MonotonicTime since) implements FleetKnowledge {}
}
