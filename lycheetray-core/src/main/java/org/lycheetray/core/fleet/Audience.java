package org.lycheetray.core.fleet;

import java.util.List;

/**
 * Who gets a VM's report.
 *
 * @param near VMs that also get the reports that are passed on: those of the own region, or all of a small fleet
 * @param far VMs that pass the report on in their regions, one in each
 * @param passesOn true if reports from other regions are passed on to {@code near}
 */
public record Audience(List<FleetMember> near, List<FleetMember> far, boolean passesOn) {
    /** Copies the lists. */
    public Audience {
        near = List.copyOf(near);
        far = List.copyOf(far);
    }
}
