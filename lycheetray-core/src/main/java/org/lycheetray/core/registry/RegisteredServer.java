package org.lycheetray.core.registry;

import java.time.Duration;
import org.lycheetray.core.model.BackendServerName;
import org.lycheetray.core.model.DataCentreName;
import org.lycheetray.core.model.Endpoint;
import org.lycheetray.core.model.ServiceName;

/**
 * What a backend server last said of itself.
 *
 * @param name its name; a server may start again under the name that it had
 * @param incarnation start of this life, in milliseconds of the Unix epoch; a later life is larger
 * @param service service it offers
 * @param endpoint HTTP address
 * @param dataCentre data centre it stands in
 * @param slots requests that it runs at one time, at least 1
 * @param draining true if it is about to leave
 * @param coldRemaining how much longer it is cold, counted from when it said so
 */
public record RegisteredServer(
        BackendServerName name,
        long incarnation,
        ServiceName service,
        Endpoint endpoint,
        DataCentreName dataCentre,
        int slots,
        boolean draining,
        Duration coldRemaining) {}
