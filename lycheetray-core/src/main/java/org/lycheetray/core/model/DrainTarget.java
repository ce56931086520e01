package org.lycheetray.core.model;

/** The part of the fleet that a planned drain takes out of service. */
public sealed interface DrainTarget {
    /**
     * A whole region.
     *
     * @param region the region
     */
    record OfRegion(RegionName region) implements DrainTarget {}

    /**
     * One data centre.
     *
     * @param dataCentre the data centre
     */
    record OfDataCentre(DataCentreName dataCentre) implements DrainTarget {}

    /**
     * One backend server.
     *
     * @param backendServer the backend server
     */
    record OfBackendServer(BackendServerName backendServer) implements DrainTarget {}

    /**
     * One entry VM.
     *
     * @param vm the entry VM
     */
    record OfVm(VmName vm) implements DrainTarget {}
}
