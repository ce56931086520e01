package org.lycheetray.core.regions;

/**
 * State, capacity and demand of a region for one service, as known to the planner; the values are delayed.
 *
 * @param state whether the region accepts traffic
 * @param capacity requests per second that the region's usable slots can run
 * @param demand requests per second that enter the system in the region
 */
public record RegionCondition(RegionState state, double capacity, double demand) {}
