package org.lycheetray.daemon.settings;

import java.net.URI;
import java.util.List;
import org.lycheetray.core.model.DataCentreName;
import org.lycheetray.core.model.Endpoint;
import org.lycheetray.core.model.VmName;
import org.lycheetray.daemon.limit.ListenerLimits;
import org.lycheetray.daemon.log.LogFormat;
import org.lycheetray.protocol.FleetSecret;

/**
 * Validated settings of a daemon.
 *
 * @param vm name of the local VM in the manifest
 * @param dataCentre data centre of the local VM
 * @param callerEndpoint address to listen on for callers
 * @param peerEndpoint address to listen on for other entry VMs
 * @param seeds addresses of peers to request the configuration from while the platform is unreachable; may be empty
 * @param platform base URL of the platform's table service and object store
 * @param fleetSecret secret shared by all entry VMs
 * @param limits maximum numbers of connections from outside
 * @param logFormat format of log events
 * @param logLevel minimum level that is logged
 */
public record Settings(
        VmName vm,
        DataCentreName dataCentre,
        Endpoint callerEndpoint,
        Endpoint peerEndpoint,
        List<Endpoint> seeds,
        URI platform,
        FleetSecret fleetSecret,
        ListenerLimits limits,
        LogFormat logFormat,
        String logLevel) {
    /** Makes a defensive copy of the list. */
    public Settings {
        seeds = List.copyOf(seeds);
    }
}
