package org.lycheetray.core.fleet;

import org.lycheetray.core.model.DataCentreName;
import org.lycheetray.core.model.Endpoint;
import org.lycheetray.core.model.VmName;

/**
 * One incarnation of an entry VM.
 *
 * @param vm name of the VM
 * @param incarnation start time of the process in milliseconds since the Unix epoch, adjusted if necessary so that it
 *     exceeds the previous incarnation
 * @param dataCentre data centre of the VM
 * @param callerEndpoint address on which the VM accepts requests of callers
 * @param reportEndpoint address on which the VM accepts status reports of other VMs
 */
public record FleetMember(
        VmName vm, long incarnation, DataCentreName dataCentre, Endpoint callerEndpoint, Endpoint reportEndpoint) {}
