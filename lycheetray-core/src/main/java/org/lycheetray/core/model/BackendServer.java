package org.lycheetray.core.model;

/**
 * A backend server: one instance of a service.
 *
 * @param name unique name
 * @param service service it offers
 * @param dataCentre data centre it stands in
 * @param endpoint HTTP address
 * @param slots requests that it runs at one time, at least 1
 * @param connections connections that it accepts from the whole fleet, at least 1
 */
public record BackendServer(
        BackendServerName name,
        ServiceName service,
        DataCentreName dataCentre,
        Endpoint endpoint,
        int slots,
        int connections) {}
