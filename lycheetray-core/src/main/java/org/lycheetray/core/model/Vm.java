package org.lycheetray.core.model;

/**
 * An entry VM, on which a process of the system accepts the requests of callers.
 *
 * @param name unique name
 * @param dataCentre the data centre in which it runs
 * @param callerEndpoint HTTP address for callers
 * @param peerEndpoint Thrift address for other entry VMs
 */
public record Vm(VmName name, DataCentreName dataCentre, Endpoint callerEndpoint, Endpoint peerEndpoint) {}
