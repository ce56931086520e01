package org.lycheetray.core.regions;

/**
 * A region as a planner sees it, for one service; measurements lag.
 *
 * @param state what it can be used for
 * @param capacity requests per second that its usable slots can run
 * @param demand requests per second whose callers enter there
 */
public record RegionCondition(RegionState state, double capacity, double demand) {}
