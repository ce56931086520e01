package org.lycheetray.core.fleet;

import org.lycheetray.core.model.DataCentreName;
import org.lycheetray.core.model.Endpoint;
import org.lycheetray.core.model.VmName;

/**
 * One life of an entry VM.
 *
 * @param vm its name
 * @param incarnation start of this life in milliseconds of the Unix epoch, made larger than that of the life before
 * @param dataCentre data centre it stands in
 * @param callers address for callers
 * @param reports address for the reports of other VMs
 */
public record FleetMember(VmName vm, long incarnation, DataCentreName dataCentre, Endpoint callers, Endpoint reports) {}
