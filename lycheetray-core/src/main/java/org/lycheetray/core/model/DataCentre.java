package org.lycheetray.core.model;

/**
 * A data centre of a region.
 *
 * @param name unique name
 * @param region region it belongs to
 */
public record DataCentre(DataCentreName name, RegionName region) {}
