package org.lycheetray.daemon.settings;

import java.net.URI;
import java.util.List;
import org.lycheetray.core.model.DataCentreName;
import org.lycheetray.core.model.Endpoint;
import org.lycheetray.core.model.VmName;
import org.lycheetray.daemon.log.LogFormat;
import org.lycheetray.protocol.FleetSecret;

/**
 * Checked settings of one daemon.
 *
 * @param vm this VM's name in the manifest
 * @param dataCentre data centre that this VM stands in
 * @param callers address to listen on for callers
 * @param peers address to listen on for other entry VMs
 * @param seeds addresses of peers to ask for the configuration while the platform is out of reach, may be empty
 * @param platform base URL of the platform's table service and object store
 * @param fleetSecret secret shared by the fleet
 * @param logFormat format of log events
 * @param logLevel least level that is logged
 */
public record Settings(
        VmName vm,
        DataCentreName dataCentre,
        Endpoint callers,
        Endpoint peers,
        List<Endpoint> seeds,
        URI platform,
        FleetSecret fleetSecret,
        LogFormat logFormat,
        String logLevel) {
    /** Copies the list. */
    public Settings {
        seeds = List.copyOf(seeds);
    }
}
