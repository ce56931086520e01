package org.lycheetray.core.model;

import java.time.Duration;

/**
 * The network between two regions, limited in each direction.
 *
 * @param from region that sends
 * @param to region that receives
 * @param mbitPerSecond capacity in one direction, shared by all traffic
 * @param oneWayDelay delay of a packet
 */
public record Link(RegionName from, RegionName to, long mbitPerSecond, Duration oneWayDelay) {}
