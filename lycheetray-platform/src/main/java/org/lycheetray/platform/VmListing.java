package org.lycheetray.platform;

import java.time.Instant;
import java.util.List;
import java.util.Optional;
import org.lycheetray.core.model.VmName;

/**
 * The platform's list at one time. A VM that is missing from a list that names others is gone.
 *
 * @param asOf when the platform made the list, by the platform's clock
 * @param vms live and leaving VMs
 */
public record VmListing(Instant asOf, List<ListedVm> vms) {
    /** Copies the list. */
    public VmListing {
        vms = List.copyOf(vms);
    }

    /**
     * Looks a VM up.
     *
     * @param name name of the VM
     * @return its entry, empty if it is not listed
     */
    public Optional<ListedVm> find(VmName name) {
        return vms.stream().filter(v -> v.name().equals(name)).findFirst();
    }

    /** What the platform intends with a VM. */
    public enum State {
        /** It runs. */
        LIVE,
        /** It will be stopped soon. */
        LEAVING
    }

    /**
     * One VM of the list.
     *
     * @param name name of the VM
     * @param state whether it stays
     */
    public record ListedVm(VmName name, State state) {}
}
