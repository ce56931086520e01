package org.lycheetray.core.model;

import java.time.Duration;

/**
 * The capacity and delay of the network between two regions, in one direction.
 *
 * @param from the sending region
 * @param to the receiving region
 * @param mbitPerSecond capacity in this direction in Mbit/s, shared by all traffic
 * @param oneWayDelay delay of a packet in this direction
 */
public record Link(RegionName from, RegionName to, long mbitPerSecond, Duration oneWayDelay) {}
