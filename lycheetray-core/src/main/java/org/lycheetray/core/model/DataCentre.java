package org.lycheetray.core.model;

/**
 * A data centre of a region.
 *
 * @param name unique name
 * @param region the region to which it belongs
 */
public record DataCentre(DataCentreName name, RegionName region) {}
