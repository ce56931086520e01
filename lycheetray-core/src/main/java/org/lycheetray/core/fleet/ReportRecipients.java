package org.lycheetray.core.fleet;

import java.util.List;

/**
 * The recipients of a status report of a VM.
 *
 * @param direct direct recipients, to which reports relayed from other regions are also sent: the VMs of the local
 *     region, or all VMs of a small fleet
 * @param relays one relay VM in each other region, which forwards the report to the VMs of its region
 * @param usesRelays true if reports from other regions are forwarded to {@code direct}
 */
public record ReportRecipients(List<FleetMember> direct, List<FleetMember> relays, boolean usesRelays) {
    /** Creates the recipients with immutable copies of the lists. */
    public ReportRecipients {
        direct = List.copyOf(direct);
        relays = List.copyOf(relays);
    }
}
