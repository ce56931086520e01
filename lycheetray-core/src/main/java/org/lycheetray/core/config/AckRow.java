package org.lycheetray.core.config;

import org.lycheetray.core.model.ConfigVersion;
import org.lycheetray.core.model.DataCentreName;

/**
 * Content of the row {@code config/ack/DATACENTRE}, which states that all registered VMs of a data centre have loaded a
 * version.
 *
 * @param dataCentre the data centre
 * @param version the newest acknowledged version
 */
public record AckRow(DataCentreName dataCentre, ConfigVersion version) {}
