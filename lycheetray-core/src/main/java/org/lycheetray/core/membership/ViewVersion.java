package org.lycheetray.core.membership;

import org.lycheetray.core.model.DataCentreName;

/**
 * Version of a data centre view known to a VM.
 *
 * @param dataCentre the data centre
 * @param version the version, 0 if the VM has no view of the data centre
 */
public record ViewVersion(DataCentreName dataCentre, long version) {}
