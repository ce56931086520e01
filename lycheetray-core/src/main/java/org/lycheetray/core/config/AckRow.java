package org.lycheetray.core.config;

import org.lycheetray.core.model.ConfigVersion;
import org.lycheetray.core.model.DataCentreName;

/**
 * Content of the row {@code config/ack/DATACENTRE}: all registered VMs there have loaded a version.
 *
 * @param dataCentre the data centre
 * @param version newest version acknowledged
 */
public record AckRow(DataCentreName dataCentre, ConfigVersion version) {}
