package org.lycheetray.core.model;

/**
 * An entry VM: one process of the system that callers connect to.
 *
 * @param name unique name
 * @param dataCentre data centre it stands in
 * @param callers address for callers, HTTP
 * @param peers address for other entry VMs, Thrift
 */
public record Vm(VmName name, DataCentreName dataCentre, Endpoint callers, Endpoint peers) {}
