package org.lycheetray.core.membership;

import org.lycheetray.core.model.DataCentreName;

/**
 * Version of a data centre's view that a VM knows.
 *
 * @param dataCentre the data centre
 * @param version the version, 0 if the VM knows none
 */
public record ViewVersion(DataCentreName dataCentre, long version) {}
