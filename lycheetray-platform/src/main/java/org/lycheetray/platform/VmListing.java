package org.lycheetray.platform;

import java.time.Instant;
import java.util.List;
import java.util.Optional;
import org.lycheetray.core.model.VmName;

/**
 * A snapshot of the platform's VM list. A VM that is absent from a non-empty list no longer exists.
 *
 * @param asOf time at which the platform produced the list, by the platform's clock
 * @param vms live and leaving VMs
 */
public record VmListing(Instant asOf, List<ListedVm> vms) {
    /** Creates a snapshot with a copy of the list. */
    public VmListing {
        vms = List.copyOf(vms);
    }

    /**
     * Returns the entry of a VM.
     *
     * @param name name of the VM
     * @return the entry, empty if the VM is not listed
     */
    public Optional<ListedVm> find(VmName name) {
        return vms.stream().filter(v -> v.name().equals(name)).findFirst();
    }

    /** State of a VM as announced by the platform. */
    public enum State {
        /** The VM runs and is not scheduled to stop. */
        LIVE,
        /** The platform will stop the VM soon. */
        LEAVING
    }

    /**
     * An entry of the list.
     *
     * @param name name of the VM
     * @param state state announced by the platform
     */
    public record ListedVm(VmName name, State state) {}
}
