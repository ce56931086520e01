package org.lycheetray.core.model;

/**
 * A backend server: one instance of a service.
 *
 * @param name unique name
 * @param service the service that it provides
 * @param dataCentre the data centre in which it runs
 * @param endpoint HTTP address
 * @param slots maximum number of requests that it runs concurrently, at least 1
 * @param connections maximum number of connections that it accepts from the whole fleet, at least 1
 */
public record BackendServer(
        BackendServerName name,
        ServiceName service,
        DataCentreName dataCentre,
        Endpoint endpoint,
        int slots,
        int connections) {}
