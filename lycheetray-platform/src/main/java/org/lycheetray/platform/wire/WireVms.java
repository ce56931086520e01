package org.lycheetray.platform.wire;

import java.time.Instant;
import java.util.List;
import java.util.Locale;
import org.lycheetray.core.model.VmName;
import org.lycheetray.platform.VmListing;

/**
 * JSON form of the list of VMs.
 *
 * @param asOf time at which the list was produced, in ISO 8601
 * @param vms the VMs
 */
public record WireVms(String asOf, List<WireVm> vms) {
    /**
     * JSON form of one VM.
     *
     * @param name name of the VM
     * @param state {@code live} or {@code leaving}
     */
    public record WireVm(String name, String state) {
        private VmListing.ListedVm toListed() {
            return new VmListing.ListedVm(new VmName(name), VmListing.State.valueOf(state.toUpperCase(Locale.ROOT)));
        }

        private static WireVm of(VmListing.ListedVm v) {
            return new WireVm(v.name().value(), v.state().name().toLowerCase(Locale.ROOT));
        }
    }

    /**
     * Returns the JSON form of a listing.
     *
     * @param l the listing
     * @return the JSON form
     */
    public static WireVms of(VmListing l) {
        return new WireVms(l.asOf().toString(), l.vms().stream().map(WireVm::of).toList());
    }

    /**
     * Returns the listing described by this object.
     *
     * @return the listing
     * @throws IllegalArgumentException if a name or state is not valid
     */
    public VmListing toListing() {
        return new VmListing(
                Instant.parse(asOf), vms.stream().map(WireVm::toListed).toList());
    }
}
