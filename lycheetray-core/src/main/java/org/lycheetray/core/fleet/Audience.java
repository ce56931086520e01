package org.lycheetray.core.fleet;

import java.util.List;

/**
 * The recipients of a status report of a VM.
 *
 * @param near direct recipients, to which reports relayed from other regions are also sent: the VMs of the local
 *     region, or all VMs of a small fleet
 * @param far one relay VM in each other region, which forwards the report to the VMs of its region
 * @param passesOn true if reports from other regions are forwarded to {@code near}
 */
public record Audience(List<FleetMember> near, List<FleetMember> far, boolean passesOn) {
    /** Creates the recipients with immutable copies of the lists. */
    public Audience {
        near = List.copyOf(near);
        far = List.copyOf(far);
    }
}
